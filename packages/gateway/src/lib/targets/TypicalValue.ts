/** Share of the samples that lie below the estimate: slow targets do not raise it. */
const QUANTILE = 0.25;

/** Relative step of the estimate. */
const STEP = 0.1;

/** Smallest sample: times and counts below 1 are no different from 1. */
const MINIMUM = 1;

/** Estimates a low quantile of samples, as the time that an answer of a kind takes at the faster targets. */
export default class TypicalValue {
  #value: number | null = null;

  record(sample: number): void {
    const bounded = Math.max(MINIMUM, sample);
    const value = this.#value ?? bounded;
    this.#value = Math.max(MINIMUM, value * (1 + STEP * (bounded < value ? QUANTILE - 1 : QUANTILE)));
  }

  /** The estimate; `sample` before the first one. */
  or(sample: number): number {
    return this.#value ?? Math.max(MINIMUM, sample);
  }
}

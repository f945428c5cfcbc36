/** Part of the present estimate by which one sample moves it. */
const STEP = 0.05;

/** Estimate below which steps no longer shrink, so that a sample of 0 does not hold it there. */
const SMALLEST_SCALE = 1;

/**
 * Estimate of a quantile in constant memory, by stochastic approximation: samples
 * above move it up by `q` steps, samples below move it down by `1 - q` steps, so that
 * it rests where a share `q` of the samples lies below.
 */
export default class QuantileEstimate {
  #quantile: number;

  #value: number | null = null;

  constructor(quantile: number) {
    this.#quantile = quantile;
  }

  /** Null before the first sample. */
  get value(): number | null {
    return this.#value;
  }

  add(sample: number): void {
    if (this.#value === null) {
      this.#value = sample;
      return;
    }
    const step = STEP * Math.max(this.#value, SMALLEST_SCALE);
    this.#value += sample > this.#value ? step * this.#quantile : -step * (1 - this.#quantile);
  }
}

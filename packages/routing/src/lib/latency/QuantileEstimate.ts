/** Step size, as a share of the current estimate. */
const STEP = 0.05;

/** Estimate below which steps no longer shrink, so that the estimate does not get stuck at 0. */
const SMALLEST_SCALE = 1;

/**
 * Estimates the quantile `q` in constant memory by stochastic approximation: a sample
 * above the estimate raises it by `q` steps, any other lowers it by `1 - q` steps, so that
 * it converges to the value with a share `q` of the samples below.
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

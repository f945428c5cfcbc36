/** Exponentially weighted moving average that starts as the plain mean of the first samples. */
export default class MovingAverage {
  #weight: number;

  #value = 0;

  #samples = 0;

  /** `weight` is the weight of the newest sample, above 0 and at most 1. */
  constructor(weight: number) {
    this.#weight = weight;
  }

  /** The average, 0 before the first sample. */
  get value(): number {
    return this.#value;
  }

  get samples(): number {
    return this.#samples;
  }

  add(sample: number): void {
    this.#samples += 1;
    const weight = Math.max(this.#weight, 1 / this.#samples);
    this.#value += weight * (sample - this.#value);
  }
}

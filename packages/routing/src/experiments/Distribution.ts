/** Collects numbers and computes their quantiles. */
export default class Distribution {
  #numbers: number[] = [];

  #isSorted = true;

  get count(): number {
    return this.#numbers.length;
  }

  add(number: number): void {
    this.#numbers.push(number);
    this.#isSorted = false;
  }

  /** The quantile for a share from 0 to 1, rounded to a tenth; NaN for no numbers. */
  quantile(share: number): number {
    if (!this.#isSorted) {
      this.#numbers.sort((left, right) => left - right);
      this.#isSorted = true;
    }
    const index = Math.min(this.#numbers.length - 1, Math.floor(share * this.#numbers.length));
    return Math.round((this.#numbers[index] ?? NaN) * 10) / 10;
  }
}

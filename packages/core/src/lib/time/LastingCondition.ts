/** Tells a condition that lasts from one that holds for a moment. */
export default class LastingCondition {
  readonly #minimumMilliseconds: number;

  /** Monotonic time since which the condition has held, in ms; null while it does not. */
  #since: number | null = null;

  /** @param minimumMilliseconds Time for which the condition has to hold, in ms. */
  constructor(minimumMilliseconds: number) {
    this.#minimumMilliseconds = minimumMilliseconds;
  }

  /**
   * Records whether the condition holds.
   * @param now Monotonic time, in ms.
   * @returns Whether it has held for long enough.
   */
  observe(holds: boolean, now: number): boolean {
    this.#since = holds ? this.#since ?? now : null;
    return this.#since !== null && now - this.#since >= this.#minimumMilliseconds;
  }

  /** Forgets since when the condition has held. */
  reset(): void {
    this.#since = null;
  }
}

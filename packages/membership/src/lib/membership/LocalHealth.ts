const MAXIMUM_SCORE = 8;

/**
 * Local health awareness: doubts of this process about itself. A process that misses
 * answers waits longer before it accuses others.
 */
export default class LocalHealth {
  #score = 0;

  /** Factor by which waits for answers are lengthened. */
  get factor(): number {
    return 1 + this.#score;
  }

  improve(): void {
    this.#score = Math.max(0, this.#score - 1);
  }

  worsen(): void {
    this.#score = Math.min(MAXIMUM_SCORE, this.#score + 1);
  }
}

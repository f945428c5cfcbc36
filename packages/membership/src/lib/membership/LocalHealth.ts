const MAXIMUM_SCORE = 8;

/**
 * Local health awareness, as in Lifeguard. A process that misses answers may itself be slow
 * and waits longer before it suspects others.
 */
export default class LocalHealth {
  #score = 0;

  /** Multiplier of the timeout after which a probed member is suspected. */
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

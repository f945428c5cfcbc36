import type { RandomSource } from '@dandelionlane/core';

/**
 * Turns of one entry at a target that all entries share: one each period, from a random time on. Turns of
 * different entries are independent, so that together they keep to a rate although none sees what the
 * others send.
 */
export default class RandomTurns {
  readonly #validityMilliseconds: number;

  /** Monotonic time of the first turn that is not used, in ms; null before the first. */
  #turnAt: number | null = null;

  #periodMilliseconds = 0;

  /**
   * @param validityMilliseconds Age up to which an unused turn stays valid, in ms: bounds the requests of
   * entries that all idled and return together.
   */
  constructor(validityMilliseconds: number) {
    this.#validityMilliseconds = validityMilliseconds;
  }

  /** Time from a monotonic time to the next turn, both in ms; 0 or less while there is one. */
  waitMilliseconds(periodMilliseconds: number, now: number, random: RandomSource): number {
    this.#periodMilliseconds = periodMilliseconds;
    if (this.#turnAt === null || this.#turnAt > now + periodMilliseconds) {
      this.#turnAt = now + random.next() * periodMilliseconds;
    }
    const missed = Math.ceil((now - this.#validityMilliseconds - this.#turnAt) / periodMilliseconds);
    this.#turnAt += Math.max(0, missed) * periodMilliseconds;
    return this.#turnAt - now;
  }

  /** Uses a turn. */
  recordSend(): void {
    if (this.#turnAt !== null) {
      this.#turnAt += this.#periodMilliseconds;
    }
  }

  /** Forgets the turns, once they are not needed. */
  reset(): void {
    this.#turnAt = null;
  }
}

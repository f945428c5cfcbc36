import { FencingNumber, type LeaseRecord, type RandomSource } from '@dandelionlane/core';

/**
 * Fencing numbers that are left out for each return of the store from a copy: above the holders that
 * may have followed each other between the copy and the return.
 */
const NUMBERS_PER_RESTORATION = 1_000;

/**
 * Gives fencing numbers above all that were given out, also by holders that a copy of the store does not
 * know. Processes that follow such a return unseen by each other take numbers a random part apart.
 */
export default class FencingNumberGenerator {
  readonly #random: RandomSource | undefined;

  /** Highest number that this process has seen: the store may have lost it. */
  #highest = 0;

  constructor(random: RandomSource | undefined) {
    this.#random = random;
  }

  /** Takes in the number that a lease row names. */
  observe(record: LeaseRecord | null): void {
    this.#highest = Math.max(this.#highest, record?.fencing ?? 0);
  }

  /**
   * The number of a new holder.
   * @param record The row that it follows.
   * @param era Present era of the store; null where it names none.
   */
  next(record: LeaseRecord | null, era: number | null): FencingNumber {
    this.observe(record);
    const restorations = Math.max(0, (era ?? 0) - (record?.era ?? era ?? 0));
    const skipped = restorations === 0
      ? 0 : Math.floor((restorations + (this.#random?.next() ?? 0)) * NUMBERS_PER_RESTORATION);
    return FencingNumber.parse(this.#highest + skipped + 1);
  }
}

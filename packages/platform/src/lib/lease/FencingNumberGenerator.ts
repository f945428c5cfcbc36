import { FencingNumber, type LeaseRecord, type RandomSource } from '@dandelionlane/core';

/**
 * Fencing numbers skipped for each time the store was restored from a copy: more than the number of
 * holders that may have succeeded each other between the copy and the restoration.
 */
const NUMBERS_PER_RESTORATION = 1_000;

/**
 * Generates fencing numbers above all numbers already issued, including those of holders that the restored
 * copy of the store does not contain. The gap has a random part, since processes that acquire after a
 * restoration without seeing each other must not issue the same number.
 */
export default class FencingNumberGenerator {
  readonly #random: RandomSource | undefined;

  /** Highest number that this process has seen; the store may have lost it in a restoration. */
  #highest = 0;

  constructor(random: RandomSource | undefined) {
    this.#random = random;
  }

  /** Records the fencing number of a lease row. */
  observe(record: LeaseRecord | null): void {
    this.#highest = Math.max(this.#highest, record?.fencing ?? 0);
  }

  /**
   * Returns the fencing number of a new holder.
   * @param record The lease row that the new holder replaces.
   * @param era Current era of the store; null if the store reports none.
   */
  next(record: LeaseRecord | null, era: number | null): FencingNumber {
    this.observe(record);
    const restorations = Math.max(0, (era ?? 0) - (record?.era ?? era ?? 0));
    const skipped = restorations === 0
      ? 0 : Math.floor((restorations + (this.#random?.next() ?? 0)) * NUMBERS_PER_RESTORATION);
    return FencingNumber.parse(this.#highest + skipped + 1);
  }
}

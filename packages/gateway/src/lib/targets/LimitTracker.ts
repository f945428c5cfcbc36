import type { Clock, RandomSource } from '@dandelionlane/core';
import type NamedLimit from './NamedLimit.js';
import SharedRateLimiter from './SharedRateLimiter.js';

/** Time for which a changed limit is told to the other entries, in ms: several messages. */
const TELLING_MILLISECONDS = 400;

/** Limit that one target has named, as this process has heard of it, and this entry's turns under it. */
export default class LimitTracker {
  readonly #clock: Clock;

  readonly #limiter = new SharedRateLimiter();

  /** What the target last said; null before it has named a limit. */
  #limit: (NamedLimit & { readonly heardAt: number }) | null = null;

  /** Monotonic time at which the limit last changed, in ms. */
  #changedAt = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records the limit that an instance of the target has named. Older observations are ignored.
   * @param ageMilliseconds Time since it was heard, in ms.
   * @returns Whether the limit has changed.
   */
  record({ bornAt, requestsPerSecond }: NamedLimit, ageMilliseconds = 0): boolean {
    const now = this.#clock.monotonicMilliseconds();
    const heardAt = now - ageMilliseconds;
    const hasChanged = this.requestsPerSecond(bornAt) !== requestsPerSecond;
    if (this.#limit !== null && this.#limit.heardAt >= heardAt) {
      return false;
    }
    this.#limit = this.#limit === null && requestsPerSecond === null
      ? null : { bornAt, requestsPerSecond, heardAt };
    if (hasChanged) {
      this.#changedAt = now;
    }
    if (requestsPerSecond === null) {
      this.#limiter.reset();
    }
    return hasChanged;
  }

  /** Requests per second that an instance of the target takes from all entries; null without a limit. */
  requestsPerSecond(bornAt: number | null): number | null {
    return this.#limit !== null && this.#limit.bornAt === bornAt ? this.#limit.requestsPerSecond : null;
  }

  /** What the target said, where that has just changed or all is to be told; else null. */
  toTell(tellsAll: boolean): (NamedLimit & { readonly ageMilliseconds: number }) | null {
    const now = this.#clock.monotonicMilliseconds();
    const isNews = now - this.#changedAt < TELLING_MILLISECONDS;
    if (this.#limit === null || !(isNews || (tellsAll && this.#limit.requestsPerSecond !== null))) {
      return null;
    }
    const { bornAt, requestsPerSecond, heardAt } = this.#limit;
    return { bornAt, requestsPerSecond, ageMilliseconds: Math.round(now - heardAt) };
  }

  /** Tells the limit again, to an entry that may not know it. */
  tellAgain(): void {
    this.#changedAt = this.#clock.monotonicMilliseconds();
  }

  /**
   * Time until this entry may send another request to an instance of the target, in ms; 0 or less if it
   * may now.
   * @param entries Number of live entries, including this one.
   */
  waitMilliseconds(bornAt: number | null, entries: number, random: RandomSource): number {
    const requestsPerSecond = this.requestsPerSecond(bornAt);
    if (requestsPerSecond === null) {
      return 0;
    }
    const now = this.#clock.monotonicMilliseconds();
    return this.#limiter.waitMilliseconds({ requestsPerSecond, entries }, now, random);
  }

  /** Records that a request is sent to the target. */
  recordSend(): void {
    this.#limiter.recordSend();
  }
}

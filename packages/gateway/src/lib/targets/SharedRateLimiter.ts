import type { RandomSource } from '@dandelionlane/core';

/** Age up to which an unused turn stays valid, in ms: bounds the requests of entries that all idled. */
const TURN_VALIDITY_MILLISECONDS = 1_000;

/** Share of the rate that entries use while each has a turn at least every few seconds. */
const SHARE = 0.9;

/** Period of turns from which entries count as many, in ms. */
const LONG_PERIOD_MILLISECONDS = 4_000;

/** Share of the rate that many entries use: their turns, at random times, cluster. */
const SHARE_OF_MANY = 0.75;

/** Lowest rate, in requests per second of all entries: only a request tells that a limit was lifted. */
const MINIMUM_RATE = 0.1;

const MILLISECONDS_PER_SECOND = 1_000;

/** Rate that all entries together may use, in requests per second. */
interface SharedRate {
  readonly requestsPerSecond: number;
  /** Number of live entries, including this one. */
  readonly entries: number;
}

/** Mean time between two requests of one entry, in ms. */
function turnPeriod({ requestsPerSecond, entries }: SharedRate): number {
  const period = (MILLISECONDS_PER_SECOND * entries) / Math.max(MINIMUM_RATE, requestsPerSecond);
  return period / (period > LONG_PERIOD_MILLISECONDS ? SHARE_OF_MANY : SHARE);
}

/**
 * Keeps the requests of all entries to a target within a rate, although no entry sees what the others
 * send: each takes turns at its share of the rate, from a random time on.
 */
export default class SharedRateLimiter {
  /** Monotonic time of the first turn that is not used, in ms; null before the first. */
  #turnAt: number | null = null;

  #period = 0;

  /** Time from a monotonic time to the next turn, both in ms; 0 or less while there is one. */
  waitMilliseconds(rate: SharedRate, now: number, random: RandomSource): number {
    this.#period = turnPeriod(rate);
    if (this.#turnAt === null || this.#turnAt > now + this.#period) {
      this.#turnAt = now + random.next() * this.#period;
    }
    const missed = Math.ceil((now - TURN_VALIDITY_MILLISECONDS - this.#turnAt) / this.#period);
    this.#turnAt += Math.max(0, missed) * this.#period;
    return this.#turnAt - now;
  }

  /** Records that a request was sent. */
  recordSend(): void {
    if (this.#turnAt !== null) {
      this.#turnAt += this.#period;
    }
  }

  /** Forgets the turns, once the target has no limit. */
  reset(): void {
    this.#turnAt = null;
  }
}

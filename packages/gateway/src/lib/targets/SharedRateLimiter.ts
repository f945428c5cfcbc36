import type { RandomSource } from '@dandelionlane/core';
import RandomTurns from './RandomTurns.js';

/** Age up to which an unused turn stays valid, in ms. */
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
 * send: each takes turns at its share of the rate.
 */
export default class SharedRateLimiter {
  readonly #turns = new RandomTurns(TURN_VALIDITY_MILLISECONDS);

  /** Time from a monotonic time to the next turn, both in ms; 0 or less while there is one. */
  waitMilliseconds(rate: SharedRate, now: number, random: RandomSource): number {
    return this.#turns.waitMilliseconds(turnPeriod(rate), now, random);
  }

  /** Records that a request was sent. */
  recordSend(): void {
    this.#turns.recordSend();
  }

  /** Forgets the turns, once the target has no limit. */
  reset(): void {
    this.#turns.reset();
  }
}

import type { RandomSource } from '@dandelionlane/core';
import RandomTurns from './RandomTurns.js';

/** Window in which requests to a cold target are counted, in ms. */
const WINDOW_MILLISECONDS = 1_000;

/** Factor by which a cold target may exceed its rate in a second (`cold_over` of the platform). */
const TOLERANCE = 1.5;

/** Share of the rate that entries use when they take turns at random times, as such turns cluster. */
const RANDOM_TURNS_SHARE = 0.7;

/** Age up to which an unused turn stays valid, in ms. */
const TURN_VALIDITY_MILLISECONDS = 300;

/** Rate limit of a target in cold start, and the entries that share it. */
interface ColdLimit {
  /** Monotonic time at which the target is warm, in ms. */
  readonly coldUntil: number;
  readonly requestsPerSecond: number;
  /** Number of live entries, including this one. */
  readonly entries: number;
}

/**
 * Keeps the requests of all entries together within the limit of a target in cold start, although no
 * entry sees what the others send. Where the limit leaves each entry less than one request a second,
 * entries take turns that begin at a random time; an unused turn lapses.
 */
export default class ColdStartLimiter {
  #sends: number[] = [];

  readonly #turns = new RandomTurns(TURN_VALIDITY_MILLISECONDS);

  /** Monotonic end of the cold start that the turns belong to, in ms. */
  #turnsUntil = Number.NEGATIVE_INFINITY;

  /** Records a request sent at a monotonic time, in ms. */
  recordSend(now: number): void {
    this.#sends = this.#sends.filter((at) => now - at < WINDOW_MILLISECONDS);
    this.#sends.push(now);
    this.#turns.recordSend();
  }

  /** Whether this entry may send the target another request at a monotonic time, in ms. */
  admits({ coldUntil, requestsPerSecond, entries }: ColdLimit, now: number, random: RandomSource): boolean {
    if (coldUntil <= now || requestsPerSecond <= 0) {
      return true;
    }
    const share = requestsPerSecond / entries;
    if (share * TOLERANCE >= 1) {
      this.#turns.reset();
      const sent = this.#sends.filter((at) => now - at < WINDOW_MILLISECONDS).length;
      return sent < Math.max(1, Math.floor(share));
    }
    if (this.#turnsUntil <= now) {
      this.#turns.reset();
    }
    this.#turnsUntil = coldUntil;
    return this.#turns.waitMilliseconds(WINDOW_MILLISECONDS / (share * RANDOM_TURNS_SHARE), now, random) <= 0;
  }
}

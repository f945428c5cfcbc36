import type { RandomSource } from '@dandelionlane/core';
import type ReleaseDisseminationSettings from './ReleaseDisseminationSettings.js';

const JITTER_SHARE = 0.2;

/**
 * Decides when this entry polls the store. The entries with the lowest ranks always poll. While
 * no entry of the region reaches the store, entries of higher rank start polling one by one.
 */
export default class StorePollSchedule {
  readonly #settings: ReleaseDisseminationSettings;

  readonly #random: RandomSource;

  #rank = 0;

  #interval: number;

  #nextPollAt = Number.NEGATIVE_INFINITY;

  #substituteUntil = Number.NEGATIVE_INFINITY;

  #pollSentAt: number | undefined;

  #lastReadAt: number | undefined;

  #storeReads = 0;

  constructor(settings: ReleaseDisseminationSettings, random: RandomSource) {
    this.#settings = settings;
    this.#random = random;
    this.#interval = settings.pollPeriodMilliseconds;
  }

  /** Number of successful reads in this region, as far as known. */
  get storeReads(): number {
    return this.#storeReads;
  }

  setRank(rank: number): void {
    this.#rank = rank;
  }

  /** Merges the count of successful reads that a peer of the region reported. */
  observeReads(storeReads: number, now: number): void {
    if (storeReads > this.#storeReads) {
      this.#storeReads = storeReads;
      this.#lastReadAt = now;
    }
  }

  recordSuccess(now: number): void {
    this.#pollSentAt = undefined;
    this.#interval = this.#settings.pollPeriodMilliseconds;
    this.#storeReads += 1;
    this.#lastReadAt = now;
    if (this.#rank >= this.#settings.pollers) {
      this.#substituteUntil = Math.max(this.#substituteUntil, now + this.#settings.substituteMilliseconds);
    }
  }

  recordFailure(): void {
    this.#pollSentAt = undefined;
    this.#interval = Math.min(this.#interval * 2, this.#settings.pollBackoffMilliseconds);
  }

  /** Whether a poll is due now. If so, the poll counts as sent. */
  startPollIfDue(now: number): boolean {
    this.#lastReadAt ??= now;
    this.#expirePoll(now);
    if (this.#pollSentAt !== undefined || now < this.#nextPollAt || !this.#isPolling(now)) {
      return false;
    }
    this.#pollSentAt = now;
    this.#nextPollAt = now + this.#interval * (1 + JITTER_SHARE * (this.#random.next() - 0.5));
    return true;
  }

  #expirePoll(now: number): void {
    if (this.#pollSentAt !== undefined && now - this.#pollSentAt > this.#settings.pollTimeoutMilliseconds) {
      this.recordFailure();
    }
  }

  #isPolling(now: number): boolean {
    const { pollers, staleMilliseconds, rankDelayMilliseconds } = this.#settings;
    if (this.#rank < pollers || now < this.#substituteUntil) {
      return true;
    }
    const age = now - (this.#lastReadAt ?? now);
    return age >= staleMilliseconds + (this.#rank - pollers) * rankDelayMilliseconds;
  }
}

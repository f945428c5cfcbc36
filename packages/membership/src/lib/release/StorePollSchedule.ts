import type { RandomSource } from '@dandelionlane/core';
import type ReleaseDisseminationSettings from './ReleaseDisseminationSettings.js';

const JITTER_SHARE = 0.2;

/**
 * Decides when this entry polls the store. The first ranks always poll. While nobody
 * in the region reaches the store, further ranks step in one after another.
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

  /** Successful reads in this region, as far as known. */
  get storeReads(): number {
    return this.#storeReads;
  }

  setRank(rank: number): void {
    this.#rank = rank;
  }

  /** A peer of the region knows of reads that this entry has not heard of. */
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

  /** Whether to poll now; notes that the poll was sent. */
  startPollIfDue(now: number): boolean {
    this.#lastReadAt ??= now;
    this.#expirePoll(now);
    if (this.#pollSentAt !== undefined || now < this.#nextPollAt || !this.#isOnDuty(now)) {
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

  #isOnDuty(now: number): boolean {
    const { pollers, staleMilliseconds, rankDelayMilliseconds } = this.#settings;
    if (this.#rank < pollers || now < this.#substituteUntil) {
      return true;
    }
    const age = now - (this.#lastReadAt ?? now);
    return age >= staleMilliseconds + (this.#rank - pollers) * rankDelayMilliseconds;
  }
}

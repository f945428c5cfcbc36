import type { Clock, PromptPartId } from '@dandelionlane/core';

/** Time for which a granted trial may be used, in ms: the holder of the lease renews it with each message. */
const GRANT_MILLISECONDS = 1_000;

/** Shortest time between two trials of one part, in ms: longer than the holder grants one. */
const PAUSE_MILLISECONDS = 10_000;

/** Time for which this entry asks for a trial after a request has asked for it, in ms: two messages. */
const INTEREST_MILLISECONDS = 250;

/** This entry's trials of quarantined parts: which it asks for, which are granted, and which it has used. */
export default class PartTrials {
  readonly #clock: Clock;

  /** Monotonic time at which a request last asked for each part, in ms. */
  readonly #askedAt = new Map<PromptPartId, number>();

  /** Monotonic time until which a trial of each part may be used, in ms. */
  readonly #grantedUntil = new Map<PromptPartId, number>();

  /** Monotonic time of the last trial of each part, in ms. */
  readonly #usedAt = new Map<PromptPartId, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that a request asks to try a part. */
  ask(part: PromptPartId): void {
    this.#askedAt.set(part, this.#now());
  }

  /** Whether a request has just asked to try a part. */
  isSought(part: PromptPartId): boolean {
    return this.#now() - (this.#askedAt.get(part) ?? Number.NEGATIVE_INFINITY) < INTEREST_MILLISECONDS;
  }

  /** Allows this entry to send one request with a part. */
  grant(part: PromptPartId): void {
    const now = this.#now();
    if (now - (this.#usedAt.get(part) ?? Number.NEGATIVE_INFINITY) >= PAUSE_MILLISECONDS) {
      this.#grantedUntil.set(part, now + GRANT_MILLISECONDS);
    }
  }

  isGranted(part: PromptPartId): boolean {
    return (this.#grantedUntil.get(part) ?? Number.NEGATIVE_INFINITY) > this.#now();
  }

  /** Uses a granted trial, if there is one. */
  use(part: PromptPartId): void {
    if (this.isGranted(part)) {
      this.#grantedUntil.delete(part);
      this.#usedAt.set(part, this.#now());
    }
  }

  /** Forgets a part that is not quarantined any more. */
  forget(part: PromptPartId): void {
    this.#askedAt.delete(part);
    this.#grantedUntil.delete(part);
    this.#usedAt.delete(part);
  }

  #now(): number {
    return this.#clock.monotonicMilliseconds();
  }
}

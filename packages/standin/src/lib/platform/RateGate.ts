import type { Clock } from '@dandelionlane/core';

const MILLISECONDS_PER_SECOND = 1_000;

/** Spreads calls so that they pass at no more than a given rate. */
export default class RateGate {
  readonly #intervalMilliseconds: number;

  readonly #clock: Clock;

  #nextSlot = 0;

  /** Without a rate nothing waits. */
  constructor(callsPerSecond: number | undefined, clock: Clock) {
    this.#intervalMilliseconds = callsPerSecond === undefined ? 0 : MILLISECONDS_PER_SECOND / callsPerSecond;
    this.#clock = clock;
  }

  /** Takes the next slot. Returns how long the call must wait for it, in milliseconds. */
  take(): number {
    const now = this.#clock.monotonicMilliseconds();
    const slot = Math.max(now, this.#nextSlot);
    this.#nextSlot = slot + this.#intervalMilliseconds;
    return slot - now;
  }
}

import type { Clock, RandomSource } from '@dandelionlane/core';
import type CacheEvent from './CacheEvent.js';

const MAXIMUM_EVENTS = 1_000;

interface FeedTiming {
  readonly lagMilliseconds: number;
  /** Share of events that are lost, 0 to 1. */
  readonly lossRatio: number;
}

/** Feed of cache events that appear late and with gaps; old ones are forgotten. */
export default class CacheEventFeed {
  readonly #timing: FeedTiming;

  readonly #clock: Clock;

  readonly #random: RandomSource;

  #events: (CacheEvent & { readonly visibleAt: number })[] = [];

  #sequence = 0;

  constructor(timing: FeedTiming, clock: Clock, random: RandomSource) {
    this.#timing = timing;
    this.#clock = clock;
    this.#random = random;
  }

  add(event: Omit<CacheEvent, 'sequence'>): void {
    this.#sequence += 1;
    if (this.#random.next() >= this.#timing.lossRatio) {
      const visibleAt = this.#clock.monotonicMilliseconds() + this.#timing.lagMilliseconds;
      this.#events.push({ ...event, sequence: this.#sequence, visibleAt });
      this.#events = this.#events.slice(-MAXIMUM_EVENTS);
    }
  }

  /** Visible events after a sequence number. */
  after(sequence: number): readonly CacheEvent[] {
    const now = this.#clock.monotonicMilliseconds();
    return this.#events
      .filter((event) => event.visibleAt <= now && event.sequence > sequence)
      .map(({ visibleAt, ...event }) => event);
  }
}

import type { Clock, ServiceId } from '@dandelionlane/core';

/** Length of one bucket, in ms. */
const BUCKET_MILLISECONDS = 1_000;

/** Share of the bound that is used: entries count their windows apart. */
const SAFETY_SHARE = 0.7;

/** Requests and repeats that began within one second. */
interface Bucket {
  readonly startedAt: number;
  requests: number;
  repeats: number;
}

/** Bound on repeats that all entries share. */
interface RepeatBudgetSettings {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed beyond that, over all entries. */
  readonly extra: number;
  readonly windowMilliseconds: number;
}

/**
 * Bounds arrivals at a service beyond the first of each request. The part that grows with the
 * requests needs no agreement; the fixed part is split evenly over the live entries.
 */
export default class RepeatBudget {
  readonly #clock: Clock;

  readonly #settings: RepeatBudgetSettings;

  readonly #buckets = new Map<ServiceId, Bucket[]>();

  constructor(clock: Clock, settings: RepeatBudgetSettings) {
    this.#clock = clock;
    this.#settings = settings;
  }

  /** Notes a request of a caller. */
  request(service: ServiceId): void {
    this.#current(service).requests += 1;
  }

  /**
   * Takes one repeat, or returns false when the window's are used up.
   * @param entries Live entries, this one included.
   */
  tryRepeat(service: ServiceId, entries: number): boolean {
    const current = this.#current(service);
    const buckets = this.#buckets.get(service) ?? [];
    const requests = buckets.reduce((sum, bucket) => sum + bucket.requests, 0);
    const repeats = buckets.reduce((sum, bucket) => sum + bucket.repeats, 0);
    const { ratio, extra } = this.#settings;
    if (repeats + 1 > (ratio * requests + extra / entries) * SAFETY_SHARE) {
      return false;
    }
    current.repeats += 1;
    return true;
  }

  #current(service: ServiceId): Bucket {
    const now = this.#clock.monotonicMilliseconds();
    const buckets = (this.#buckets.get(service) ?? [])
      .filter(({ startedAt }) => now - startedAt < this.#settings.windowMilliseconds);
    const last = buckets.at(-1);
    if (last !== undefined && now - last.startedAt < BUCKET_MILLISECONDS) {
      this.#buckets.set(service, buckets);
      return last;
    }
    const bucket: Bucket = { startedAt: now, requests: 0, repeats: 0 };
    buckets.push(bucket);
    this.#buckets.set(service, buckets);
    return bucket;
  }
}

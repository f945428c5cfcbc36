import type { Clock, ServiceId } from '@dandelionlane/core';

/** Length of one bucket, in ms. */
const BUCKET_MILLISECONDS = 1_000;

/** Share of the bound that is used: entries count their windows apart. */
const SAFETY_SHARE = 0.7;

/** Age up to which the requests that entries share are used, in ms: several messages. */
const SHARED_AGE_MILLISECONDS = 1_000;

/** Requests of all entries for a service, as of a moment. */
interface SharedRequests {
  readonly requests: number;
  readonly at: number;
}

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
 * Bounds arrivals at a service beyond the first of each request. The allowance is split evenly over
 * the live entries: the part that grows with the requests by those of all entries, where they are
 * known, so that an entry that has just started has its share; by its own otherwise.
 */
export default class RetryBudget {
  readonly #clock: Clock;

  readonly #settings: RepeatBudgetSettings;

  readonly #buckets = new Map<ServiceId, Bucket[]>();

  readonly #shared = new Map<ServiceId, SharedRequests>();

  constructor(clock: Clock, settings: RepeatBudgetSettings) {
    this.#clock = clock;
    this.#settings = settings;
  }

  /** Notes a request of a caller. */
  recordRequest(service: ServiceId): void {
    this.#current(service).requests += 1;
  }

  /** Requests of this entry in the window, by service. */
  countRequests(): readonly { readonly service: ServiceId; readonly requests: number }[] {
    return [...this.#buckets.keys()].map((service) => ({ service, requests: this.#requests(service) }));
  }

  /** Takes in the requests of all entries in the window, this one's included. */
  recordSharedRequests(service: ServiceId, requests: number): void {
    this.#shared.set(service, { requests, at: this.#clock.monotonicMilliseconds() });
  }

  /**
   * Takes one repeat, or returns false when the window's are used up.
   * @param entries Live entries, this one included.
   */
  tryRetry(service: ServiceId, entries: number): boolean {
    const current = this.#current(service);
    const buckets = this.#buckets.get(service) ?? [];
    const repeats = buckets.reduce((sum, bucket) => sum + bucket.repeats, 0);
    const { ratio, extra } = this.#settings;
    const requests = this.#sharedPart(service, entries) ?? this.#requests(service);
    if (repeats + 1 > (ratio * requests + extra / entries) * SAFETY_SHARE) {
      return false;
    }
    current.repeats += 1;
    return true;
  }

  /** This entry's part of the requests of all, or null where they are not known. */
  #sharedPart(service: ServiceId, entries: number): number | null {
    const shared = this.#shared.get(service);
    return shared !== undefined && this.#clock.monotonicMilliseconds() - shared.at < SHARED_AGE_MILLISECONDS
      ? shared.requests / entries : null;
  }

  #requests(service: ServiceId): number {
    const now = this.#clock.monotonicMilliseconds();
    return (this.#buckets.get(service) ?? [])
      .filter(({ startedAt }) => now - startedAt < this.#settings.windowMilliseconds)
      .reduce((sum, bucket) => sum + bucket.requests, 0);
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

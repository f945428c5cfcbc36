import type { Clock, ServiceId } from '@dandelionlane/core';

/** Length of one bucket of requests, in ms. */
const BUCKET_MILLISECONDS = 1_000;

/** Share of the budget that is used, as entries differ for a moment in what they know of each other. */
const SAFETY_SHARE = 0.9;

/** Time by which a retry may reach its target later than another one that was sent with it, in ms. */
const DELIVERY_SPREAD_MILLISECONDS = 500;

/** Age up to which a shared request count is used, in ms: several messages. */
const SHARED_AGE_MILLISECONDS = 1_000;

/** Requests of all entries for a service, as of a monotonic time in ms. */
interface SharedRequests {
  readonly requests: number;
  readonly at: number;
}

/** Requests that arrived within one second. */
interface Bucket {
  readonly startedAt: number;
  requests: number;
}

/** Bound on retries that all entries share. */
interface RetryBudgetSettings {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed beyond that, over all entries. */
  readonly extra: number;
  readonly windowMilliseconds: number;
}

/**
 * Limits retries: requests that reach a target of a service again after their first attempt. The
 * budget is split evenly among the live entries. The part that grows with the number of requests is
 * computed from the requests of all entries where these are known, so that an entry that has just
 * started has its share, and from the requests of this entry otherwise.
 */
export default class RetryBudget {
  readonly #clock: Clock;

  readonly #settings: RetryBudgetSettings;

  readonly #buckets = new Map<ServiceId, Bucket[]>();

  /** Monotonic times of the retries of this entry in the window, in ms. */
  readonly #retriedAt = new Map<ServiceId, readonly number[]>();

  readonly #sharedRequests = new Map<ServiceId, SharedRequests>();

  constructor(clock: Clock, settings: RetryBudgetSettings) {
    this.#clock = clock;
    this.#settings = settings;
  }

  /** Records a request of a caller. */
  recordRequest(service: ServiceId): void {
    this.#currentBucket(service).requests += 1;
  }

  /** Requests of this entry in the window, by service. */
  countRequests(): readonly { readonly service: ServiceId; readonly requests: number }[] {
    return [...this.#buckets.keys()]
      .map((service) => ({ service, requests: this.#countOwnRequests(service) }));
  }

  /** Records the requests of all entries in the window, including those of this one. */
  recordSharedRequests(service: ServiceId, requests: number): void {
    this.#sharedRequests.set(service, { requests, at: this.#clock.monotonicMilliseconds() });
  }

  /**
   * Spends one retry, or returns false when the budget of the window is used up.
   * @param entries Number of live entries, including this one.
   */
  tryRetry(service: ServiceId, entries: number): boolean {
    const now = this.#clock.monotonicMilliseconds();
    const { ratio, extra, windowMilliseconds } = this.#settings;
    const retriedAt = (this.#retriedAt.get(service) ?? [])
      .filter((at) => now - at < windowMilliseconds + DELIVERY_SPREAD_MILLISECONDS);
    const requests = this.#shareOfAllRequests(service, entries) ?? this.#countOwnRequests(service);
    const isAllowed = retriedAt.length + 1 <= (ratio * requests + extra / entries) * SAFETY_SHARE;
    this.#retriedAt.set(service, isAllowed ? [...retriedAt, now] : retriedAt);
    return isAllowed;
  }

  /** This entry's share of the requests of all entries, or null where these are not known. */
  #shareOfAllRequests(service: ServiceId, entries: number): number | null {
    const shared = this.#sharedRequests.get(service);
    return shared !== undefined && this.#clock.monotonicMilliseconds() - shared.at < SHARED_AGE_MILLISECONDS
      ? shared.requests / entries : null;
  }

  #countOwnRequests(service: ServiceId): number {
    const now = this.#clock.monotonicMilliseconds();
    return (this.#buckets.get(service) ?? [])
      .filter(({ startedAt }) => now - startedAt < this.#settings.windowMilliseconds)
      .reduce((sum, bucket) => sum + bucket.requests, 0);
  }

  #currentBucket(service: ServiceId): Bucket {
    const now = this.#clock.monotonicMilliseconds();
    const buckets = (this.#buckets.get(service) ?? [])
      .filter(({ startedAt }) => now - startedAt < this.#settings.windowMilliseconds);
    const last = buckets.at(-1);
    if (last !== undefined && now - last.startedAt < BUCKET_MILLISECONDS) {
      this.#buckets.set(service, buckets);
      return last;
    }
    const bucket: Bucket = { startedAt: now, requests: 0 };
    buckets.push(bucket);
    this.#buckets.set(service, buckets);
    return bucket;
  }
}

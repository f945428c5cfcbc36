/** Extra attempts that each new request adds. Keeps the total load below 1.1 times the offered load. */
const SHARE_OF_FRESH_REQUESTS = 0.08;

/** Maximum and initial number of extra attempts in the bucket. */
const RESERVE_ATTEMPTS = 10;

/**
 * Token bucket shared by retries, resumptions and hedges.
 *
 * Invariant: after `n` new requests, at most `0.08 n + 10` extra attempts have been
 * granted, at any time and in any order of events.
 */
export default class RetryBudget {
  #attempts = RESERVE_ATTEMPTS;

  /** Extra attempts that can be granted now, rounded down. */
  get available(): number {
    return Math.floor(this.#attempts);
  }

  /** Records a new request, not an extra attempt, and refills the bucket by its share. */
  recordRequest(): void {
    this.#attempts = Math.min(RESERVE_ATTEMPTS, this.#attempts + SHARE_OF_FRESH_REQUESTS);
  }

  /** Consumes one extra attempt; false if none is available. */
  tryAcquire(): boolean {
    if (this.#attempts < 1) {
      return false;
    }
    this.#attempts -= 1;
    return true;
  }
}

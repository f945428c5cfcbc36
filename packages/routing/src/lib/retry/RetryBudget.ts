/** Extra attempts that one fresh request pays for. Keeps total work below 1.1 times what is offered. */
const SHARE_OF_FRESH_REQUESTS = 0.08;

/** Extra attempts that may be saved up, and those at the start. */
const RESERVE_ATTEMPTS = 10;

/**
 * Token bucket that pays for retries, resumptions and hedges together.
 *
 * Invariant: of `n` fresh requests, at most `0.08 n + 10` extra attempts are
 * granted, at any time and in any order of events.
 */
export default class RetryBudget {
  #attempts = RESERVE_ATTEMPTS;

  /** Extra attempts that can be granted now. */
  get available(): number {
    return Math.floor(this.#attempts);
  }

  /** Notes a fresh request, one that is no retry. */
  recordRequest(): void {
    this.#attempts = Math.min(RESERVE_ATTEMPTS, this.#attempts + SHARE_OF_FRESH_REQUESTS);
  }

  /** Takes one extra attempt out, or returns false. */
  tryAcquire(): boolean {
    if (this.#attempts < 1) {
      return false;
    }
    this.#attempts -= 1;
    return true;
  }
}

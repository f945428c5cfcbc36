import type { Clock, ControllerId } from '@dandelionlane/core';
import type { HeldLease, LeaseKeeper } from '@dandelionlane/platform';

/** Time after a resignation during which the lease is left to other entries, in ms. */
const RESIGN_BACKOFF_MILLISECONDS = 4_000;

/** Options of a `Leadership`. */
interface LeadershipOptions {
  readonly lease: LeaseKeeper;
  /** Id under which this process holds the lease. */
  readonly holder: ControllerId;
  /** Clock that also advances while the process is stopped. */
  readonly clock: Clock;
  /** Whether this process may hold the lease at all. */
  readonly isEligible: () => boolean;
}

/**
 * Decides whether this process acts as the holder of the lease.
 *
 * A holder that cannot reach the store continues to act. This is safe even if it has been replaced
 * without noticing: workers refuse its orders once they have seen a later term, each of its orders
 * names the state that it expects, and its epochs are unique to its term.
 */
export default class Leadership {
  readonly #options: LeadershipOptions;

  #lastHeld: HeldLease | null = null;

  #resignedAt = Number.NEGATIVE_INFINITY;

  constructor(options: LeadershipOptions) {
    this.#options = options;
  }

  /** Whether this process may contend for the lease. */
  get canContend(): boolean {
    const { clock, isEligible } = this.#options;
    return isEligible() && clock.monotonicMilliseconds() - this.#resignedAt > RESIGN_BACKOFF_MILLISECONDS;
  }

  /** The lease under which this process acts, or null if it does not act. */
  actingLease(): HeldLease | null {
    const { lease } = this.#options;
    if (!this.canContend) {
      return null;
    }
    this.#lastHeld = lease.held() ?? this.#lastHeld;
    if (this.#isLost()) {
      this.#lastHeld = null;
    }
    return this.#lastHeld;
  }

  /** Whether the lease, as last read, is held by another process, is of a later term or was released. */
  #isLost(): boolean {
    const { lease, holder } = this.#options;
    const observed = lease.observed();
    return observed === null || observed.released || observed.holder !== holder
      || observed.fencing !== this.#lastHeld?.fencing;
  }

  /** Releases the lease and leaves it to other entries for a while. */
  resign(): void {
    this.#resignedAt = this.#options.clock.monotonicMilliseconds();
    this.#lastHeld = null;
    void this.#options.lease.release();
  }
}

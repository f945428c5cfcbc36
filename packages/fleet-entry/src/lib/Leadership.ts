import type { Clock, ControllerId } from '@dandelionlane/core';
import type { HeldLease, LeaseKeeper } from '@dandelionlane/platform';

/** Time for which the lease is left to others after it was given up, in ms. */
const RESIGNATION_MILLISECONDS = 4_000;

/** What a `Leadership` needs from outside. */
interface LeadershipOptions {
  readonly lease: LeaseKeeper;
  /** This process. */
  readonly holder: ControllerId;
  /** Clock that goes on while the process is stopped. */
  readonly clock: Clock;
  /** Whether this process may hold the lease at all. */
  readonly isEligible: () => boolean;
}

/**
 * Tells whether this process acts as the holder of the lease.
 *
 * A holder that cannot reach the store acts on: workers refuse it once they have heard of a later
 * term, each of its orders names the state that it expects, and its epochs belong to its term
 * alone. So nothing that it does can collide with a holder that has followed it unseen.
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
    return isEligible() && clock.monotonicMilliseconds() - this.#resignedAt > RESIGNATION_MILLISECONDS;
  }

  /** The lease under which this process acts, or null. */
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

  /** Whether the lease was last read as somebody else's, of a later term, or as released. */
  #isLost(): boolean {
    const { lease, holder } = this.#options;
    const observed = lease.observed();
    return observed === null || observed.released || observed.holder !== holder
      || observed.fencing !== this.#lastHeld?.fencing;
  }

  /** Gives the lease up, for others to take. */
  resign(): void {
    this.#resignedAt = this.#options.clock.monotonicMilliseconds();
    this.#lastHeld = null;
    void this.#options.lease.release();
  }
}

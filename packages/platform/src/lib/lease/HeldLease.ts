import type { FencingNumber, RowVersion } from '@dandelionlane/core';

/** A lease that this process holds. */
export default interface HeldLease {
  readonly fencing: FencingNumber;
  readonly version: RowVersion;
  /** Monotonic time after which the holder must not act on the lease. */
  readonly actUntilMilliseconds: number;
}

import type { Grant, RowVersion } from '@dandelionlane/core';

/** An entry's grant as of one read of the placement row. */
export default interface GrantSnapshot {
  readonly grant: Grant;
  /** Version of the placement row. Snapshots of an older version are ignored. */
  readonly version: RowVersion;
  /** Monotonic time at which the read began, not at which its answer arrived. */
  readonly readAtMilliseconds: number;
}

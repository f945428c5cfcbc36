import type { Allocation, RowVersion } from '@dandelionlane/core';

/** An allocation row with the version at which it was read or written. */
export default interface VersionedAllocation {
  readonly allocation: Allocation;
  readonly version: RowVersion;
}

import type { LeaseRecord, RowVersion } from '@dandelionlane/core';

/** What a contender knows of the lease row, and since when it has seen it unchanged. */
export default interface LeaseObservation {
  readonly record: LeaseRecord | null;
  readonly version: RowVersion;
  /** Monotonic time of the first read that showed this version. */
  readonly firstSeenMilliseconds: number;
}

import type { LeaseRecord, RowVersion } from '@dandelionlane/core';

/** Latest version of the lease row that a process has seen, and when it first saw it. */
export default interface LeaseObservation {
  readonly record: LeaseRecord | null;
  readonly version: RowVersion;
  /** Monotonic time of the first read that showed this version. */
  readonly firstSeenMilliseconds: number;
}

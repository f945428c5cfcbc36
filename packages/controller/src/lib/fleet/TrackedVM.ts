import type { VMRecord, VMReport } from '@dandelionlane/core';

/** Tracked state of one VM. Times are on the monotonic clock, in milliseconds. */
export default interface TrackedVM {
  readonly record: VMRecord;
  readonly report: VMReport | null;
  /** When the last report arrived, or when tracking began if none has. */
  readonly reportedAt: number;
  /** When the last completed poll was sent. */
  readonly polledAt: number;
  /** When the first failed poll since the last report was sent; null while polls succeed. */
  readonly silentSince: number | null;
  /** When the list first omitted the VM; null while it is listed. */
  readonly unlistedSince: number | null;
}

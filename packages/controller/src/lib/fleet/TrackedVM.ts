import type { VMRecord, VMReport } from '@dandelionlane/core';

/** What is known of one VM. Times are on the monotonic clock, in milliseconds. */
export default interface TrackedVM {
  readonly record: VMRecord;
  readonly report: VMReport | null;
  /** When the last report came, or when the VM came into view. */
  readonly reportedAt: number;
  /** When it was last asked for a report. */
  readonly polledAt: number;
  /** When the first question went out that was not answered; null while answers come. */
  readonly silentSince: number | null;
  /** Since when the list has been without the VM; null while it is listed. */
  readonly unlistedSince: number | null;
}

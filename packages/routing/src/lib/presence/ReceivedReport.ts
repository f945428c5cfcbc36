import type { VMReport } from '@dandelionlane/core';

/** The latest report of a VM and its arrival time at this process. */
export default interface ReceivedReport {
  readonly report: VMReport;
  /** Monotonic time of arrival. A duplicate of the report does not update it. */
  readonly receivedAtMilliseconds: number;
}

import type { VMReport } from '@dandelionlane/core';

/** The latest report of a VM and when this process took it in. */
export default interface ReceivedReport {
  readonly report: VMReport;
  /** Monotonic time of arrival. A repeated report does not renew it. */
  readonly receivedAtMilliseconds: number;
}

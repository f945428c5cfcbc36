import { isNewerReport, type VMReport } from '@dandelionlane/core';
import type ReceivedReport from './ReceivedReport.js';

/**
 * Replaces the previous report of a VM if the new one is newer. A report of an older
 * incarnation, out of order or a duplicate changes nothing, not even the arrival time,
 * since it does not show that the VM is alive.
 */
export default function mergeReport(
  previous: ReceivedReport | undefined,
  report: VMReport,
  monotonicMilliseconds: number,
): ReceivedReport {
  if (previous !== undefined && !isNewerReport(report, previous.report)) {
    return previous;
  }
  return { report, receivedAtMilliseconds: monotonicMilliseconds };
}

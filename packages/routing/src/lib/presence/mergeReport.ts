import { isNewerReport, type VMReport } from '@dandelionlane/core';
import type ReceivedReport from './ReceivedReport.js';

/**
 * Takes a report in. A report of an older incarnation, or one that is out of order
 * or repeated, leaves the sighting as it was: it is no sign of life.
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

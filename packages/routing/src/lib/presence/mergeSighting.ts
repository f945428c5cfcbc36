import { isNewerReport, type VMReport } from '@dandelionlane/core';
import type VMSighting from './VMSighting.js';

/**
 * Takes a report in. A report of an older incarnation, or one that is out of order
 * or repeated, leaves the sighting as it was: it is no sign of life.
 */
export default function mergeSighting(
  previous: VMSighting | undefined,
  report: VMReport,
  monotonicMilliseconds: number,
): VMSighting {
  if (previous !== undefined && !isNewerReport(report, previous.report)) {
    return previous;
  }
  return { report, seenAtMilliseconds: monotonicMilliseconds };
}

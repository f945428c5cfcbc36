import type { VMReport } from '@dandelionlane/core';
import type VMSighting from './VMSighting.js';

/** Whether `report` was made after the one in `previous`. */
function isNewer(previous: VMSighting, report: VMReport): boolean {
  const known = previous.report;
  if (report.incarnation !== known.incarnation) {
    return report.incarnation > known.incarnation;
  }
  return report.sequence > known.sequence;
}

/**
 * Takes a report in. A report of an older incarnation, or one that is out of order
 * or repeated, leaves the sighting as it was: it is no sign of life.
 */
export default function mergeSighting(
  previous: VMSighting | undefined,
  report: VMReport,
  monotonicMilliseconds: number,
): VMSighting {
  if (previous !== undefined && !isNewer(previous, report)) {
    return previous;
  }
  return { report, seenAtMilliseconds: monotonicMilliseconds };
}

import type VMReport from './VMReport.js';

/** Whether a report was made after the last one. A repeated one is no sign of life. */
export default function isNewerReport(report: VMReport, previous: VMReport | null): boolean {
  if (previous === null) {
    return true;
  }
  if (report.incarnation !== previous.incarnation) {
    return report.incarnation > previous.incarnation;
  }
  return report.sequence > previous.sequence;
}

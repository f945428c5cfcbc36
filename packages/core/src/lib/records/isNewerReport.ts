import type VMReport from './VMReport.js';

/** Whether a report is newer than the previous one. A repeated report does not prove that the VM is alive. */
export default function isNewerReport(report: VMReport, previous: VMReport | null): boolean {
  if (previous === null) {
    return true;
  }
  if (report.incarnation !== previous.incarnation) {
    return report.incarnation > previous.incarnation;
  }
  return report.sequence > previous.sequence;
}

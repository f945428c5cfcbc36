import { VMReport } from '@dandelionlane/core';

/** Creates a report of a ready, warm VM, with fields replaced. Accepts unbranded ids. */
export default function makeReport(fields: Partial<Record<keyof VMReport, unknown>> = {}): VMReport {
  return VMReport.parse({
    vm: 'vm-1',
    incarnation: 1,
    sequence: 1,
    phase: 'warm',
    replica: 'replica-1',
    service: 'service-1',
    version: 'v1',
    fencing: 1,
    leaving: false,
    runningRequests: 0,
    waitingRequests: 0,
    outstandingTokens: 0,
    ...fields,
  });
}

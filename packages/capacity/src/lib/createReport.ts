import { VMReport } from '@dandelionlane/core';

/** A report of a VM that serves, with names of realistic length. */
export default function createReport(number: number): VMReport {
  return VMReport.parse({
    vm: `vm-region-3-${number}`,
    incarnation: 17,
    sequence: 86_400 + number,
    phase: 'warm',
    replica: `replica-region-3-${Math.floor(number / 4)}-k3x9`,
    service: `permit-assistant-${Math.floor(number / 4)}`,
    version: '2026-11-30.2',
    fencing: 4_211,
    leaving: false,
    runningRequests: 19,
    waitingRequests: 2,
    outstandingTokens: 14_230,
  });
}

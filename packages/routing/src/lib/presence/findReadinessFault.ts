import type { Replica, VMPhase, VMReport } from '@dandelionlane/core';
import type NotWholeReason from './NotWholeReason.js';

/** Whether a VM in this phase accepts new requests. */
function acceptsRequests(phase: VMPhase): boolean {
  switch (phase) {
    case 'cold':
    case 'warm':
      return true;
    case 'empty':
    case 'loading':
    case 'stopping':
      return false;
    default:
      return phase satisfies never;
  }
}

/** Why a member that is present accepts no new requests, or null if it does. */
export default function findReadinessFault(replica: Replica, report: VMReport): NotWholeReason | null {
  if (report.leaving) {
    return 'member-leaving';
  }
  if (!acceptsRequests(report.phase) || (report.version !== null && report.version !== replica.version)) {
    return 'member-not-ready';
  }
  return null;
}

import type { Replica, VMPhase } from '@dandelionlane/core';
import type AnswerAssessment from './AnswerAssessment.js';
import findPresenceFault from './findPresenceFault.js';
import findReceivedReport from './findReceivedReport.js';
import type MemberIncarnation from './MemberIncarnation.js';
import type ReceivedReport from './ReceivedReport.js';

/** Whether a VM in this phase can have carried a request to its end. */
function canCompleteRequests(phase: VMPhase): boolean {
  switch (phase) {
    case 'cold':
    case 'warm':
    case 'stopping':
      return true;
    case 'empty':
    case 'loading':
      return false;
    default:
      return phase satisfies never;
  }
}

/**
 * Checked before the last byte of an answer goes out: every member is still
 * present, with the incarnation that the request was sent to. A replica that drains
 * and a member that leaves or stops keep what they have in flight, so neither
 * makes an answer invalid.
 */
export default function assessAnswer(
  replica: Replica,
  receivedReports: readonly ReceivedReport[],
  monotonicMilliseconds: number,
  freshnessMilliseconds: number,
  sentTo: readonly MemberIncarnation[],
): AnswerAssessment {
  for (const { vm, incarnation } of sentTo) {
    const received = findReceivedReport(receivedReports, vm);
    const absence = findPresenceFault(replica, received, monotonicMilliseconds, freshnessMilliseconds);
    if (received === undefined || absence !== null) {
      return { kind: 'invalid', reason: absence ?? 'member-unseen', vm };
    }
    if (received.report.incarnation !== incarnation) {
      return { kind: 'invalid', reason: 'incarnation-changed', vm };
    }
    if (!canCompleteRequests(received.report.phase)) {
      return { kind: 'invalid', reason: 'member-not-ready', vm };
    }
  }
  return { kind: 'valid' };
}

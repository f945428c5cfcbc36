import type { Replica, VMPhase } from '@dandelionlane/core';
import type AnswerAssessment from './AnswerAssessment.js';
import findPresenceFault from './findPresenceFault.js';
import findReceivedReport from './findReceivedReport.js';
import type MemberIncarnation from './MemberIncarnation.js';
import type ReceivedReport from './ReceivedReport.js';

/** Whether a VM in this phase can have completed a request. */
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
 * Checks before the last byte of an answer is sent that every member is still present,
 * in the incarnation that the request was sent to. A draining replica and a member that
 * is leaving or stopping complete their requests in flight, so neither invalidates an
 * answer.
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

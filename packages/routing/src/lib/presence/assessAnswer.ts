import type { Replica, VMPhase } from '@dandelionlane/core';
import type AnswerAssessment from './AnswerAssessment.js';
import findPresenceFault from './findPresenceFault.js';
import findReceivedReport from './findReceivedReport.js';
import type MemberIncarnation from './MemberIncarnation.js';
import type ReceivedReport from './ReceivedReport.js';

/** Whether a VM in this phase can have carried a request to its end. */
function carriesWork(phase: VMPhase): boolean {
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
  sightings: readonly ReceivedReport[],
  monotonicMilliseconds: number,
  freshnessMilliseconds: number,
  sentTo: readonly MemberIncarnation[],
): AnswerAssessment {
  for (const { vm, incarnation } of sentTo) {
    const sighting = findReceivedReport(sightings, vm);
    const absence = findPresenceFault(replica, sighting, monotonicMilliseconds, freshnessMilliseconds);
    if (sighting === undefined || absence !== null) {
      return { kind: 'invalid', reason: absence ?? 'member-unseen', vm };
    }
    if (sighting.report.incarnation !== incarnation) {
      return { kind: 'invalid', reason: 'incarnation-changed', vm };
    }
    if (!carriesWork(sighting.report.phase)) {
      return { kind: 'invalid', reason: 'member-not-ready', vm };
    }
  }
  return { kind: 'valid' };
}

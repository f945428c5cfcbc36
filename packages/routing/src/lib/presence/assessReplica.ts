import type { Incarnation, Replica, VMId } from '@dandelionlane/core';
import findPresenceFault from './findPresenceFault.js';
import findReadinessFault from './findReadinessFault.js';
import findReceivedReport from './findReceivedReport.js';
import type MemberIncarnation from './MemberIncarnation.js';
import type ReplicaAssessment from './ReplicaAssessment.js';
import type ReceivedReport from './ReceivedReport.js';

/** Whether a VM is expected in this incarnation. The order of the members in a row may vary. */
function isExpected(expected: readonly MemberIncarnation[], vm: VMId, incarnation: Incarnation): boolean {
  return expected.some((member) => member.vm === vm && member.incarnation === incarnation);
}

/**
 * Decides whether a replica may take a new request: it is serving, and every member has
 * reported within the freshness bound, on this replica, ready and not leaving.
 * With `expected`, the members must also have the expected incarnations.
 */
export default function assessReplica(
  replica: Replica,
  receivedReports: readonly ReceivedReport[],
  monotonicMilliseconds: number,
  freshnessMilliseconds: number,
  expected?: readonly MemberIncarnation[],
): ReplicaAssessment {
  if (replica.state !== 'serving') {
    return { kind: 'not-whole', reason: 'replica-not-serving', vm: null };
  }
  const members: MemberIncarnation[] = [];
  let phase: 'cold' | 'warm' = 'warm';
  let receivedAtMilliseconds = Infinity;
  for (const { vm } of replica.members) {
    const received = findReceivedReport(receivedReports, vm);
    const absence = findPresenceFault(replica, received, monotonicMilliseconds, freshnessMilliseconds);
    if (received === undefined || absence !== null) {
      return { kind: 'not-whole', reason: absence ?? 'member-unseen', vm };
    }
    const { report } = received;
    const fault = findReadinessFault(replica, report);
    if (fault !== null) {
      return { kind: 'not-whole', reason: fault, vm };
    }
    if (expected !== undefined && !isExpected(expected, vm, report.incarnation)) {
      return { kind: 'not-whole', reason: 'incarnation-changed', vm };
    }
    if (report.phase !== 'warm') {
      phase = 'cold';
    }
    members.push({ vm, incarnation: report.incarnation });
    receivedAtMilliseconds = Math.min(receivedAtMilliseconds, received.receivedAtMilliseconds);
  }
  return {
    kind: 'whole',
    phase,
    members,
    receivedAtMilliseconds,
    freshUntilMilliseconds: receivedAtMilliseconds + freshnessMilliseconds,
  };
}

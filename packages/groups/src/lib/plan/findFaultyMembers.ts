import type FleetObservation from '../observation/FleetObservation.js';
import type GroupRecord from './GroupRecord.js';
import type MemberReference from './MemberReference.js';

/**
 * Finds members that are lost or leaving. A silent member is not lost while streams of its formation
 * make progress, which takes all members: only this process fails to reach it.
 */
export default function findFaultyMembers(
  record: GroupRecord,
  observation: FleetObservation,
): readonly MemberReference[] {
  return record.members.filter((member) => {
    const liveness = observation.livenessOf(member);
    return liveness === 'gone' || liveness === 'leaving'
      || (liveness === 'silent' && !observation.isProgressing(record));
  });
}

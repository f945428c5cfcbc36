import type FleetObservation from '../observation/FleetObservation.js';
import type GroupRecord from './GroupRecord.js';
import type MemberReference from './MemberReference.js';

/**
 * Members that are lost or about to leave. One that is only silent to this process is not lost while
 * streams of its formation go on: they need all members.
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

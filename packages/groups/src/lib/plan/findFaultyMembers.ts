import type FleetObservation from '../observation/FleetObservation.js';
import type GroupRecord from './GroupRecord.js';
import type MemberReference from './MemberReference.js';

/** Members that are lost or about to leave. */
export default function findFaultyMembers(
  record: GroupRecord,
  observation: FleetObservation,
): readonly MemberReference[] {
  return record.members.filter((member) => {
    const liveness = observation.livenessOf(member);
    return liveness === 'silent' || liveness === 'gone' || liveness === 'leaving';
  });
}

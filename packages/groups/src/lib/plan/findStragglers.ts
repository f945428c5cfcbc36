import type FleetObservation from '../observation/FleetObservation.js';
import STRAGGLER_SLOWDOWN from './STRAGGLER_SLOWDOWN.js';
import type GroupRecord from './GroupRecord.js';
import type MemberReference from './MemberReference.js';

/** Finds members that slow the whole group down. */
export default function findStragglers(
  record: GroupRecord,
  observation: FleetObservation,
): readonly MemberReference[] {
  return record.members.filter((member) => {
    const observed = observation.findInstance(member);
    return (observed?.report?.slowdown ?? 1) >= STRAGGLER_SLOWDOWN;
  });
}

import type FleetObservation from '../observation/FleetObservation.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import isReleased from './isReleased.js';
import planReleases from './planReleases.js';

/** Deletes the record of a group whose members are all gone, once its former heads are released. */
export default function planDissolution(
  record: GroupRecord,
  observation: FleetObservation,
): readonly GroupStep[] {
  const released = record.formerHeads.every((former) => isReleased(record, former, observation)
    || observation.livenessOf(former.head) === 'unknown');
  return released
    ? [{ kind: 'delete', name: record.name, reason: 'members-gone' }]
    : planReleases(record, observation);
}

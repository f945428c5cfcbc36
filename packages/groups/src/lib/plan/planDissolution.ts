import type FleetObservation from '../observation/FleetObservation.js';
import planRelease from './planRelease.js';
import type FormerHead from './FormerHead.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';

/** Whether no member of a group is left. */
function isAbandoned(record: GroupRecord, observation: FleetObservation): boolean {
  return record.members.every((member) => observation.livenessOf(member) === 'gone');
}

/** Deletes the record of a group whose members have all ended, and releases its former heads. */
export default function planDissolution(
  record: GroupRecord,
  observation: FleetObservation,
): readonly GroupStep[] {
  const heads: readonly FormerHead[] = record.formerHeads;
  const releases = heads
    .filter(({ head }) => !record.members.some(({ id }) => id === head.id))
    .flatMap((former) => planRelease(record, former, observation));
  const deletion: readonly GroupStep[] = isAbandoned(record, observation)
    ? [{ kind: 'delete', name: record.name, reason: 'members-gone' }] : [];
  return [...releases, ...deletion];
}

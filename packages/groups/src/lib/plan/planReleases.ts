import type FleetObservation from '../observation/FleetObservation.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import planRelease from './planRelease.js';

/** Plans the release of former heads that are no longer members. */
export default function planReleases(
  record: GroupRecord,
  observation: FleetObservation,
): readonly GroupStep[] {
  return record.formerHeads
    .filter(({ head }) => !record.members.some(({ id }) => id === head.id))
    .flatMap((former) => planRelease(record, former, observation));
}

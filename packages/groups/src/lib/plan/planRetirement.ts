import type FleetObservation from '../observation/FleetObservation.js';
import findFaultyMembers from './findFaultyMembers.js';
import type FormerHead from './FormerHead.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import isReleasedOrUnknown from './isReleasedOrUnknown.js';
import mayLeave from './mayLeave.js';
import planRelease from './planRelease.js';
import planReleases from './planReleases.js';

/** Members that answer and report the group, in any of its formations. */
function findRemaining(record: GroupRecord, observation: FleetObservation) {
  return record.members.flatMap((member) => {
    const observed = observation.findAnswering(member);
    const group = observed?.report?.group ?? null;
    return observed === undefined || group?.name !== record.name ? [] : [{ observed, group }];
  });
}

/** Plans to take a group apart: its head finishes its requests and leaves, then its members do. */
export default function planRetirement(
  record: GroupRecord,
  observation: FleetObservation,
): readonly GroupStep[] {
  const [head] = record.members;
  if (head === undefined) {
    return [];
  }
  const stalled = findFaultyMembers(record, observation)
    .some((member) => observation.livenessOf(member) !== 'leaving');
  const current: FormerHead = { epoch: record.epoch, head, stalled };
  const remaining = findRemaining(record, observation);
  const isFree = remaining.length === 0
    && [current, ...record.formerHeads].every((former) => isReleasedOrUnknown(record, former, observation));
  if (isFree) {
    return [{ kind: 'delete', name: record.name, reason: 'retired' }];
  }
  const leaves = remaining
    .filter(({ observed: { worker, hasPendingOrder }, group }) => (
      worker.id !== head.id && !hasPendingOrder && mayLeave(group, worker.domain, observation)
    ))
    .map(({ observed: { worker }, group }): GroupStep => ({
      kind: 'order',
      worker: worker.id,
      order: { kind: 'leave', group: group.name, epoch: group.epoch },
      loadsWeights: false,
    }));
  return [...planRelease(record, current, observation), ...planReleases(record, observation), ...leaves];
}

import type FleetObservation from '../observation/FleetObservation.js';
import type ObservedWorker from '../observation/ObservedWorker.js';
import isReleased from './isReleased.js';
import type GroupRecord from './GroupRecord.js';

/**
 * Whether a worker may be ordered to join the formation of a record. Invariant: no worker joins a
 * formation while the head of its current formation may still be open.
 */
export default function mayJoin(
  record: GroupRecord,
  observed: ObservedWorker,
  observation: FleetObservation,
): boolean {
  const group = observed.report?.group ?? null;
  if (group === null) {
    return true;
  }
  if (group.name !== record.name || group.epoch >= record.epoch) {
    return false;
  }
  const former = record.formerHeads.find(({ epoch }) => epoch === group.epoch);
  if (former === undefined) {
    return false;
  }
  if (former.head.id === observed.worker.id) {
    return group.state !== 'open' && group.state !== 'closing';
  }
  return isReleased(record, former, observation);
}

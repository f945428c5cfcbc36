import type FleetObservation from '../observation/FleetObservation.js';
import type GroupRecord from '../plan/GroupRecord.js';
import isMemberOf from '../plan/isMemberOf.js';

/** Whether a group is open and all of its members are in it and answer. */
export default function isCompleteAndOpen(record: GroupRecord, observation: FleetObservation): boolean {
  const [head] = record.members;
  const isOpen = head !== undefined && observation.findInstance(head)?.report?.group?.state === 'open';
  return isOpen && record.members.every((member) => observation.livenessOf(member) === 'alive'
    && isMemberOf(record, observation.findInstance(member)));
}

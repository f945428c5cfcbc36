import type FleetObservation from '../observation/FleetObservation.js';
import type GroupRecord from './GroupRecord.js';

/** Whether all members of a group are gone. */
export default function isAbandoned(record: GroupRecord, observation: FleetObservation): boolean {
  return record.members.every((member) => observation.livenessOf(member) === 'gone');
}

import type { AvailabilityZoneId } from '@dandelionlane/core';
import type FleetObservation from '../observation/FleetObservation.js';
import type GroupRecord from './GroupRecord.js';
import findFaultyMembers from './findFaultyMembers.js';

/**
 * Whether a group without faulty members serves or is forming, in a zone that is in service.
 * @param closedZones zones that are out of service
 */
export default function isServingOrForming(
  record: GroupRecord,
  observation: FleetObservation,
  closedZones: ReadonlySet<AvailabilityZoneId>,
): boolean {
  const [head] = record.members;
  const isWhole = findFaultyMembers(record, observation).length === 0;
  return head !== undefined && !closedZones.has(head.zone) && isWhole;
}

import type FleetObservation from '../observation/FleetObservation.js';
import type FormerHead from './FormerHead.js';
import type GroupRecord from './GroupRecord.js';
import isReleased from './isReleased.js';

/** Whether a head has left its formation or is not known at all. */
export default function isReleasedOrUnknown(
  record: GroupRecord,
  former: FormerHead,
  observation: FleetObservation,
): boolean {
  return isReleased(record, former, observation) || observation.livenessOf(former.head) === 'unknown';
}

import type FleetObservation from '../observation/FleetObservation.js';
import type FormerHead from './FormerHead.js';
import type GroupRecord from './GroupRecord.js';

/**
 * Whether the head of an earlier formation is known to have left it. It never returns: epochs only
 * grow, and late orders fail on their expected sequence.
 */
export default function isReleased(
  record: GroupRecord,
  former: FormerHead,
  observation: FleetObservation,
): boolean {
  const liveness = observation.livenessOf(former.head);
  switch (liveness) {
    case 'gone':
      return true;
    case 'alive':
    case 'leaving': {
      const group = observation.findInstance(former.head)?.report?.group ?? null;
      return group === null || group.name !== record.name || group.epoch !== former.epoch;
    }
    case 'silent':
    case 'unknown':
      return false;
    default:
      return liveness satisfies never;
  }
}

import type { AvailabilityZoneId } from '@dandelionlane/core';
import compareText from './compareText.js';
import type ReplicaView from './ReplicaView.js';

/**
 * Orders replicas by how little is lost with them: outdated first, then those whose VMs
 * another service waits for, those in the fullest zone, loading before serving, and the
 * youngest.
 */
export default function compareForRemoval(
  left: ReplicaView,
  right: ReplicaView,
  zoneCounts: ReadonlyMap<AvailabilityZoneId, number>,
  isInTheWay: (view: ReplicaView) => boolean,
): number {
  const loadingLast = (view: ReplicaView): number => (view.replica.state === 'loading' ? 0 : 1);
  const inZone = (view: ReplicaView): number => zoneCounts.get(view.availabilityZone) ?? 0;
  return Number(right.isOutdated) - Number(left.isOutdated)
    || Number(isInTheWay(right)) - Number(isInTheWay(left))
    || inZone(right) - inZone(left)
    || loadingLast(left) - loadingLast(right)
    || left.stateMilliseconds - right.stateMilliseconds
    || compareText(left.replica.replica, right.replica.replica);
}

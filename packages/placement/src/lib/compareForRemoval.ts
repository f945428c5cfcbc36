import type { AvailabilityZoneId } from '@dandelionlane/core';
import compareText from './compareText.js';
import type ReplicaView from './ReplicaView.js';

/**
 * Orders replicas by removal priority: outdated first, then those whose VMs another service
 * needs, those in the zone with the most replicas, loading before serving, and the youngest.
 */
export default function compareForRemoval(
  left: ReplicaView,
  right: ReplicaView,
  zoneCounts: ReadonlyMap<AvailabilityZoneId, number>,
  freesCapacity: (view: ReplicaView) => boolean,
): number {
  const servingRank = (view: ReplicaView): number => (view.replica.state === 'loading' ? 0 : 1);
  const inZone = (view: ReplicaView): number => zoneCounts.get(view.availabilityZone) ?? 0;
  return Number(right.isOutdated) - Number(left.isOutdated)
    || Number(freesCapacity(right)) - Number(freesCapacity(left))
    || inZone(right) - inZone(left)
    || servingRank(left) - servingRank(right)
    || left.stateMilliseconds - right.stateMilliseconds
    || compareText(left.replica.replica, right.replica.replica);
}

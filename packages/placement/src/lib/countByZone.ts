import type { AvailabilityZoneId } from '@dandelionlane/core';
import type ReplicaView from './ReplicaView.js';

/** Number of replicas in each availability zone that has any. */
export default function countByZone(views: readonly ReplicaView[]): Map<AvailabilityZoneId, number> {
  const counts = new Map<AvailabilityZoneId, number>();
  for (const { availabilityZone } of views) {
    counts.set(availabilityZone, (counts.get(availabilityZone) ?? 0) + 1);
  }
  return counts;
}

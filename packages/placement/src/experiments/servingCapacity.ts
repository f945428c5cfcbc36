import type { ServiceId } from '@dandelionlane/core';
import type FakeFleet from '../test/FakeFleet.js';

/** Share of its full load that a replica can serve during cold start. */
const COLD_CAPACITY = 0.25;

/** Wanted and whole replicas of one service, and its serving capacity in warm replicas. */
interface Capacity {
  readonly wanted: number;
  whole: number;
  capacity: number;
}

/** Serving capacity of each service, from the true state of the VMs rather than their reports. */
export default function servingCapacity(fleet: FakeFleet): Map<ServiceId, Capacity> {
  const capacities = new Map<ServiceId, Capacity>();
  for (const { definition } of fleet.release.services) {
    capacities.set(definition.service, { wanted: definition.replicas, whole: 0, capacity: 0 });
  }
  for (const { replica } of fleet.rows.replicas.values()) {
    const capacity = capacities.get(replica.service);
    if (capacity !== undefined && replica.state === 'serving' && fleet.isWhole(replica)) {
      capacity.whole += 1;
      capacity.capacity += fleet.isWarm(replica) ? 1 : COLD_CAPACITY;
    }
  }
  return capacities;
}

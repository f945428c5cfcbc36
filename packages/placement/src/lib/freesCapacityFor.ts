import countFittingMembers from './countFittingMembers.js';
import type FleetSnapshot from './FleetSnapshot.js';
import type FreePool from './FreePool.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceDeficit from './ServiceDeficit.js';

/** Whether the replica's VMs and the free ones of its domain give room that the free ones alone do not. */
export default function freesCapacityFor(
  view: ReplicaView,
  need: ServiceDeficit,
  pool: FreePool,
  fleet: FleetSnapshot,
): boolean {
  if (!need.lacksCapacity) return false;
  const { vmsPerReplica } = need.shape;
  const free = pool.fittingVMs(view.fabricDomain, need.shape).length;
  if (free >= vmsPerReplica) return false;
  return free + countFittingMembers(view, need.shape, fleet) >= vmsPerReplica;
}

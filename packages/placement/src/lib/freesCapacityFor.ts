import countFittingMembers from './countFittingMembers.js';
import type FleetSnapshot from './FleetSnapshot.js';
import type FreePool from './FreePool.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceDeficit from './ServiceDeficit.js';

/** Whether the free VMs of the replica's domain suffice only together with the replica's own VMs. */
export default function freesCapacityFor(
  view: ReplicaView,
  deficit: ServiceDeficit,
  pool: FreePool,
  fleet: FleetSnapshot,
): boolean {
  if (!deficit.lacksCapacity) return false;
  const { vmsPerReplica } = deficit.shape;
  const free = pool.fittingVMs(view.fabricDomain, deficit.shape).length;
  if (free >= vmsPerReplica) return false;
  return free + countFittingMembers(view, deficit.shape, fleet) >= vmsPerReplica;
}

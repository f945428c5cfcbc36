import countFitting from './countFitting.js';
import type FleetView from './FleetView.js';
import type FreePool from './FreePool.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceNeed from './ServiceNeed.js';

/** Whether the replica's VMs and the free ones of its domain give room that the free ones alone do not. */
export default function makesRoomFor(
  view: ReplicaView,
  need: ServiceNeed,
  pool: FreePool,
  fleet: FleetView,
): boolean {
  if (!need.hasNoRoom) return false;
  const { vmsPerReplica } = need.shape;
  const free = pool.fitting(view.fabricDomain, need.shape).length;
  if (free >= vmsPerReplica) return false;
  return free + countFitting(view, need.shape, fleet) >= vmsPerReplica;
}

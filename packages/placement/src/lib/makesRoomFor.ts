import type FleetView from './FleetView.js';
import fitsShape from './fitsShape.js';
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
  const fitting = view.replica.members.filter(({ vm }) => {
    const observation = fleet.observation(vm);
    return observation !== undefined && fitsShape(observation, need.shape);
  });
  return free < vmsPerReplica && free + fitting.length >= vmsPerReplica;
}

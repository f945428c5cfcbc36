import type FleetSnapshot from './FleetSnapshot.js';
import fitsShape from './fitsShape.js';
import type MemberCondition from './MemberCondition.js';
import type ReplicaShape from './ReplicaShape.js';
import type ReplicaView from './ReplicaView.js';

/** Number of the replica's members in a qualifying condition that fit the given shape. */
export default function countFittingMembers(
  view: ReplicaView,
  shape: ReplicaShape,
  fleet: FleetSnapshot,
  qualifies: (condition: MemberCondition | undefined) => boolean = () => true,
): number {
  return view.replica.members.filter(({ vm }, index) => {
    const observation = fleet.observation(vm);
    return observation !== undefined && qualifies(view.conditions[index]) && fitsShape(observation, shape);
  }).length;
}

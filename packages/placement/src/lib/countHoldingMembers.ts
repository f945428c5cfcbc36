import type ReplicaView from './ReplicaView.js';

/** Number of members whose fresh report names the replica. */
export default function countHoldingMembers(view: ReplicaView): number {
  return view.conditions.filter((condition) => condition === 'holding').length;
}

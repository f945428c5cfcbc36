import type ReplicaView from './ReplicaView.js';
import SpreadCount from './SpreadCount.js';

/** Counts replicas by availability zone and fabric domain. */
export default function countSpread(views: readonly ReplicaView[]): SpreadCount {
  const spread = new SpreadCount();
  for (const { availabilityZone, fabricDomain } of views) spread.add(availabilityZone, fabricDomain);
  return spread;
}

/** Largest share of the replicas that may be ejected at a time. */
const MAXIMUM_EJECTED_SHARE = 1 / 3;

/** Number of replicas that may be ejected at a time; 0 for fewer than three replicas. */
export default function maximumEjected(replicaCount: number): number {
  return Math.floor(replicaCount * MAXIMUM_EJECTED_SHARE);
}

/** Largest part of the replicas that may be ejected at a time. */
const MAXIMUM_EJECTED_SHARE = 1 / 3;

/** How many of so many replicas may be ejected, none of two. */
export default function maximumEjected(replicas: number): number {
  return Math.floor(replicas * MAXIMUM_EJECTED_SHARE);
}

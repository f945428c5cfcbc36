import type { ReplicaId } from '@dandelionlane/core';
import findMedian from './findMedian.js';
import maximumEjected from './maximumEjected.js';
import OUTLIER_RATIO from './OUTLIER_RATIO.js';
import type ReplicaLatency from './ReplicaLatency.js';

/** Minimum number of samples for a meaningful average. */
const MINIMUM_SAMPLES = 8;

/**
 * Finds the replicas that are much slower than the median, slowest first; at most a
 * third of all, rounded down, so none of two.
 */
export default function findOutliers(latencies: readonly ReplicaLatency[]): readonly ReplicaId[] {
  const known = latencies.filter(({ samples }) => samples >= MINIMUM_SAMPLES);
  const median = findMedian(known.map(({ milliseconds }) => milliseconds));
  if (median === null) {
    return [];
  }
  return known
    .filter(({ milliseconds }) => milliseconds > OUTLIER_RATIO * median)
    .sort((left, right) => right.milliseconds - left.milliseconds)
    .slice(0, maximumEjected(latencies.length))
    .map(({ replica }) => replica);
}

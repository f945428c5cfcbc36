import type LeaseObservation from './LeaseObservation.js';

/**
 * Whether a contender may try to acquire. The contender measures the term on its own
 * monotonic clock from the moment that it first saw the row's version, which is
 * later than the holder's renewal; so no comparison of clocks between VMs is needed.
 * @param acquisitionDelayMilliseconds Time for which a lease that has become free is left to others.
 */
export default function isLeaseFree(
  { record, firstSeenMilliseconds }: LeaseObservation,
  monotonicMilliseconds: number,
  acquisitionDelayMilliseconds: number,
): boolean {
  const term = record === null || record.released ? 0 : record.termMilliseconds;
  return monotonicMilliseconds - firstSeenMilliseconds >= term + acquisitionDelayMilliseconds;
}

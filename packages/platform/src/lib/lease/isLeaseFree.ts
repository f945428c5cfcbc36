import type LeaseObservation from './LeaseObservation.js';

/**
 * Whether a contender may try to acquire. The contender measures the term on its own
 * monotonic clock from the moment that it first saw the row's version, which is
 * later than the holder's renewal; so no comparison of clocks between VMs is needed.
 */
export default function isLeaseFree(observation: LeaseObservation, monotonicMilliseconds: number): boolean {
  if (observation.record === null || observation.record.released) {
    return true;
  }
  return monotonicMilliseconds - observation.firstSeenMilliseconds >= observation.record.termMilliseconds;
}

import type LeaseObservation from './LeaseObservation.js';

/**
 * Whether a contender may try to acquire the lease. The contender measures the term on
 * its own monotonic clock from the moment it first saw the row's version, which is
 * later than the holder's renewal, so clocks of different VMs are never compared.
 * @param acquisitionDelayMilliseconds Time for which a free lease is left to other contenders.
 */
export default function isLeaseFree(
  { record, firstSeenMilliseconds }: LeaseObservation,
  monotonicMilliseconds: number,
  acquisitionDelayMilliseconds: number,
): boolean {
  const term = record === null || record.released ? 0 : record.termMilliseconds;
  return monotonicMilliseconds - firstSeenMilliseconds >= term + acquisitionDelayMilliseconds;
}

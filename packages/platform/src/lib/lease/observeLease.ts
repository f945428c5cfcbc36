import type { LeaseRecord, RowVersion } from '@dandelionlane/core';
import type LeaseObservation from './LeaseObservation.js';

/**
 * Merges one read of the lease row into the observation. A read that shows no newer version
 * than the one already seen is ignored, so that `firstSeenMilliseconds` stays.
 */
export default function observeLease(
  previous: LeaseObservation | null,
  record: LeaseRecord | null,
  version: RowVersion,
  monotonicMilliseconds: number,
): LeaseObservation {
  if (previous !== null && version <= previous.version) {
    return previous;
  }
  return { record, version, firstSeenMilliseconds: monotonicMilliseconds };
}

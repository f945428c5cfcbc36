import type { LeaseRecord, RowVersion } from '@dandelionlane/core';
import type LeaseObservation from './LeaseObservation.js';

/**
 * Takes in one read of the lease row. A read that shows an older version than
 * one already seen is stale and ignored.
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

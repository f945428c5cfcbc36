import type FleetEntrySettings from './FleetEntrySettings.js';

/** Backoff of the holder of the lease, in ms: others learn from it that the store is back. */
const HOLDER_BACKOFF_MILLISECONDS = 400;

/** Share of the age that a view may have. Leaves time for a call that is not answered and one that is. */
const BACKOFF_SHARE = 0.45;

/**
 * Longest time between two calls of an entry to a store that is away, in ms. The store's return is seen
 * within the age that a view may have: during an outage all entries without a link call in vain.
 */
export default function storeBackoffMilliseconds(
  { maximumViewAgeMilliseconds }: Pick<FleetEntrySettings, 'maximumViewAgeMilliseconds'>,
  isLeading: boolean,
): number {
  return isLeading ? HOLDER_BACKOFF_MILLISECONDS : maximumViewAgeMilliseconds * BACKOFF_SHARE;
}

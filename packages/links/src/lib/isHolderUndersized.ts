import { hasSignificantlyMoreCores } from '@dandelionlane/core';
import type EntryStatus from './EntryStatus.js';

/**
 * Number of links from which a holder hands the lease over to an entry with more cores. With 87
 * entries and 0.3 cores the holder's calls to the store timed out; with nine entries and 0.7 cores
 * it uses a few percent.
 */
const HANDOVER_MINIMUM_LINKS = 30;

/** Whether the holder of the lease should hand it over to a linked entry with more cores. */
export default function isHolderUndersized(
  ownCores: number,
  statuses: readonly Pick<EntryStatus, 'processorCores'>[],
): boolean {
  return statuses.length >= HANDOVER_MINIMUM_LINKS
    && statuses.some(({ processorCores }) => hasSignificantlyMoreCores(processorCores, ownCores));
}

import { hasSignificantlyMoreCores } from '@dandelionlane/core';
import type EntryStatus from './EntryStatus.js';

/**
 * Links from which on a weak holder is relieved. With 87 entries and 0.3 cores its calls to the
 * store timed out; with nine entries and 0.7 cores it uses a few percent.
 */
const MANY_LINKS = 30;

/** Whether the holder of the lease had better leave it to a stronger one of the linked entries. */
export default function isHolderUndersized(
  ownCores: number,
  statuses: readonly Pick<EntryStatus, 'processorCores'>[],
): boolean {
  return statuses.length >= MANY_LINKS
    && statuses.some(({ processorCores }) => hasSignificantlyMoreCores(processorCores, ownCores));
}

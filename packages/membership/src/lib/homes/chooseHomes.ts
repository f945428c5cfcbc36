import type { EntryRecord, ServiceId } from '@dandelionlane/core';
import chooseEntries from './chooseEntries.js';

/** The home entries of a service, best first. `entries` is the result of `eligibleEntries`. */
export default function chooseHomes(
  service: ServiceId,
  entries: readonly EntryRecord[],
  count: number,
): readonly EntryRecord[] {
  return chooseEntries(service, entries, count);
}

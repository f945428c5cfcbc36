import type { EntryRecord, RandomSource } from '@dandelionlane/core';
import type EntrySelectionOptions from './EntrySelectionOptions.js';
import chooseHomes from './chooseHomes.js';
import eligibleEntries from './eligibleEntries.js';
import type EntryChoice from './EntryChoice.js';

/** Rotates the entries to a random first one, which spreads callers over them. */
function rotate(entries: readonly EntryRecord[], random: RandomSource): readonly EntryRecord[] {
  const start = Math.floor(random.next() * entries.length);
  return [...entries.slice(start), ...entries.slice(0, start)];
}

/** Entries that a caller should use for a service: its homes, those in the caller's zone first. */
export default function orderEntriesForCaller(options: EntrySelectionOptions): readonly EntryChoice[] {
  const eligible = eligibleEntries(options.members, options.availabilityZonesOut);
  const homes = chooseHomes(options.service, eligible, options.homeCount);
  const near = homes.filter(({ availabilityZone }) => availabilityZone === options.callerZone);
  const far = homes.filter(({ availabilityZone }) => availabilityZone !== options.callerZone);
  return [...rotate(near, options.random), ...rotate(far, options.random)]
    .map((entry) => ({ entry, keepSeconds: options.keepSeconds }));
}

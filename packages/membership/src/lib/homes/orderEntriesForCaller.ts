import type { EntryRecord, RandomSource } from '@dandelionlane/core';
import type EntrySelectionOptions from './EntrySelectionOptions.js';
import chooseHomes from './chooseHomes.js';
import eligibleEntries from './eligibleEntries.js';
import type EntryChoice from './EntryChoice.js';

/** The entries beginning at a random one, so that callers spread over them. */
function rotate(entries: readonly EntryRecord[], random: RandomSource): readonly EntryRecord[] {
  const start = Math.floor(random.next() * entries.length);
  return [...entries.slice(start), ...entries.slice(0, start)];
}

/** Answers which entries a caller should use for a service: its homes, near zone first. */
export default function orderEntriesForCaller(question: EntrySelectionOptions): readonly EntryChoice[] {
  const eligible = eligibleEntries(question.members, question.availabilityZonesOut);
  const homes = chooseHomes(question.service, eligible, question.homeCount);
  const near = homes.filter(({ availabilityZone }) => availabilityZone === question.callerZone);
  const far = homes.filter(({ availabilityZone }) => availabilityZone !== question.callerZone);
  return [...rotate(near, question.random), ...rotate(far, question.random)]
    .map((entry) => ({ entry, keepSeconds: question.keepSeconds }));
}

import type { RandomSource } from '@dandelionlane/core';
import type PlannedFault from './PlannedFault.js';
import type SoakFault from './SoakFault.js';
import pick from './pick.js';
import between from './between.js';

/** Bounds of the time between two faults, and of their length, in ms. */
const SHORTEST_GAP_MILLISECONDS = 2_000;
const LONGEST_GAP_MILLISECONDS = 5_000;
const SHORTEST_MILLISECONDS = 500;
const LONGEST_MILLISECONDS = 3_000;

/** Draws ends of entries and losses of the store. Workers and the links of callers are left alone. */
export default function planEntryFaults(
  milliseconds: number,
  entries: number,
  random: RandomSource,
): readonly PlannedFault[] {
  const planned: PlannedFault[] = [];
  for (
    let at = LONGEST_GAP_MILLISECONDS;
    at < milliseconds;
    at += between(SHORTEST_GAP_MILLISECONDS, LONGEST_GAP_MILLISECONDS, random)
  ) {
    const entry = Math.floor(random.next() * entries);
    planned.push({
      fault: pick<SoakFault>([
        { kind: 'entry-killed', entry },
        { kind: 'entry-terminated', entry },
        { kind: 'store-link', entry, state: 'silent' },
        { kind: 'store-fails', fault: 'silent' },
      ], random),
      atMilliseconds: at,
      forMilliseconds: between(SHORTEST_MILLISECONDS, LONGEST_MILLISECONDS, random),
    });
  }
  return planned;
}

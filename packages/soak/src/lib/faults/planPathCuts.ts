import type { RandomSource } from '@dandelionlane/core';
import type { LinkState } from '@dandelionlane/standin';
import type StoreFault from '../store/StoreFault.js';
import type PlannedFault from './PlannedFault.js';
import pick from './pick.js';

/** Gap between two cuts, and the length of one, in ms: at least twice the time from which a cut counts. */
const GAP_MILLISECONDS = 2_000;
const SHORTEST_MILLISECONDS = 6_000;
const LONGEST_MILLISECONDS = 9_000;

const STATES: readonly LinkState[] = ['silent', 'reset', 'established'];

const STORE_FAULTS: readonly StoreFault[] = ['busy', 'silent'];

/** Share of the cuts beside which the store fails. */
const STORE_SHARE = 0.3;

/** How many entries are cut off: one, half of those in a zone, all of a zone, all but one. */
function countCutOff(entries: number, zones: number, random: RandomSource): number {
  const inZone = Math.ceil(entries / zones);
  return Math.max(1, Math.min(entries - 1, pick([1, Math.ceil(inZone / 2), inZone, entries - 1], random)));
}

/** Draws cuts of the paths between some entries and all workers, one after the other. */
export default function planPathCuts(
  milliseconds: number,
  entries: number,
  zones: number,
  random: RandomSource,
): readonly PlannedFault[] {
  const planned: PlannedFault[] = [];
  let at = GAP_MILLISECONDS;
  while (at < milliseconds) {
    const first = Math.floor(random.next() * entries);
    const count = countCutOff(entries, zones, random);
    const state = pick(STATES, random);
    const forMilliseconds = Math.round(
      SHORTEST_MILLISECONDS + (LONGEST_MILLISECONDS - SHORTEST_MILLISECONDS) * random.next(),
    );
    planned.push({
      fault: {
        kind: 'paths-cut',
        // Entries of one zone are `zones` apart.
        entries: Array.from({ length: count }, (_, index) => (first + index * zones) % entries)
          .reduce<number[]>((some, entry) => {
            let free = entry;
            while (some.includes(free)) {
              free = (free + 1) % entries;
            }
            return [...some, free];
          }, []),
        state,
      },
      atMilliseconds: at,
      forMilliseconds,
    });
    if (random.next() < STORE_SHARE) {
      planned.push({
        fault: { kind: 'store-fails', fault: pick(STORE_FAULTS, random) },
        atMilliseconds: at + Math.round((forMilliseconds / 2) * random.next()),
        forMilliseconds: Math.round(forMilliseconds / 2),
      });
    }
    at += forMilliseconds + GAP_MILLISECONDS;
  }
  return planned;
}

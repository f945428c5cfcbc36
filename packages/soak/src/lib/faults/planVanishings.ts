import type { RandomSource } from '@dandelionlane/core';
import type EndingSizes from './EndingSizes.js';
import type PlannedFault from './PlannedFault.js';
import type SoakFault from './SoakFault.js';
import pick from './pick.js';
import between from './between.js';

/** Calm at the start, in which the entries are linked, in ms. */
const LINKING_MILLISECONDS = 2_000;

/** Bounds of the time between two series, in ms: shorter than a series lasts, so that they overlap. */
const SHORTEST_GAP_MILLISECONDS = 300;
const LONGEST_GAP_MILLISECONDS = 1_000;

/** Bounds of the time for which a worker is gone, in ms. The shortest are back while entries ask for it. */
const SHORTEST_MILLISECONDS = 20;
const LONGEST_MILLISECONDS = 2_500;

/** Share of the ends after which the worker is back at once. */
const RESTART_SHARE = 0.3;
const LONGEST_RESTART_MILLISECONDS = 150;

/** Time from the fault of an entry to the end of a worker under it, in ms. */
const LEAD_MILLISECONDS = 100;

function planEnd(
  { plainWorkers, modelWorkers }: EndingSizes,
  atMilliseconds: number,
  random: RandomSource,
): PlannedFault {
  const plain = Math.floor(random.next() * plainWorkers);
  const model = plainWorkers + Math.floor(random.next() * modelWorkers);
  const isBackSoon = random.next() < RESTART_SHARE;
  const longest = isBackSoon ? LONGEST_RESTART_MILLISECONDS : LONGEST_MILLISECONDS;
  return {
    fault: pick<SoakFault>([
      { kind: 'worker-vanishes', worker: plain, address: 'mute' },
      { kind: 'worker-vanishes', worker: plain, address: 'closing' },
      { kind: 'worker-crashes', worker: plain },
      { kind: 'worker-vanishes', worker: model, address: 'mute' },
      { kind: 'worker-vanishes', worker: model, address: 'closing' },
      { kind: 'worker-crashes', worker: model },
    ], random),
    atMilliseconds,
    forMilliseconds: between(SHORTEST_MILLISECONDS, longest, random),
  };
}

/**
 * Draws ends of workers after which their addresses are silent, go on accepting connections or belong to the
 * next process at once; in series, and beside entries that stand still, are killed or have their paths cut.
 */
export default function planVanishings(
  milliseconds: number,
  sizes: EndingSizes,
  random: RandomSource,
): readonly PlannedFault[] {
  const planned: PlannedFault[] = [];
  for (
    let at = LINKING_MILLISECONDS;
    at < milliseconds;
    at += between(SHORTEST_GAP_MILLISECONDS, LONGEST_GAP_MILLISECONDS, random)
  ) {
    const entry = Math.floor(random.next() * sizes.entries);
    const beside = pick<SoakFault | null>([
      null,
      null,
      { kind: 'entry-paused', entry },
      { kind: 'entry-paused', entry },
      { kind: 'entry-killed', entry },
      { kind: 'paths-cut', entries: [entry], state: 'reset' },
      { kind: 'paths-cut', entries: [entry], state: 'silent' },
    ], random);
    planned.push(
      planEnd(sizes, at + LEAD_MILLISECONDS, random),
      planEnd(sizes, at + LEAD_MILLISECONDS * 2, random),
    );
    if (beside !== null) {
      const forMilliseconds = between(LEAD_MILLISECONDS * 3, LONGEST_MILLISECONDS, random);
      planned.push({ fault: beside, atMilliseconds: at, forMilliseconds });
    }
  }
  return planned;
}

import type { RandomSource } from '@dandelionlane/core';
import type EndingSizes from './EndingSizes.js';
import type PlannedFault from './PlannedFault.js';
import type SoakFault from './SoakFault.js';
import pick from './pick.js';
import between from './between.js';

/** Calm at the start, in which the entries are linked, in ms. */
const LINKING_MILLISECONDS = 2_000;

/** Time for which the holder of the lease loses the store, in ms, as in the users' deployments. */
const HOLDER_CUT_MILLISECONDS = 5_500;

/** Time from the beginning of that to the end of another entry, and for which that is gone, in ms. */
const GONE_AFTER_MILLISECONDS = 8_500;
const GONE_MILLISECONDS = 11_500;

/** Time from the beginning of a series to the next one, in ms. */
const SERIES_MILLISECONDS = GONE_AFTER_MILLISECONDS + GONE_MILLISECONDS + 2_000;

/** Bounds of the time between two shorter faults, and of their length, in ms. */
const SHORTEST_GAP_MILLISECONDS = 500;
const LONGEST_GAP_MILLISECONDS = 2_000;
const SHORTEST_MILLISECONDS = 500;
const LONGEST_MILLISECONDS = 2_500;

/** The holder of the lease loses the store for a while; later an entry that never held it is gone. */
function planHolderChanges(milliseconds: number): readonly PlannedFault[] {
  const planned: PlannedFault[] = [];
  for (let at = LINKING_MILLISECONDS; at + SERIES_MILLISECONDS <= milliseconds; at += SERIES_MILLISECONDS) {
    planned.push(
      { fault: { kind: 'holder-cut' }, atMilliseconds: at, forMilliseconds: HOLDER_CUT_MILLISECONDS },
      {
        fault: { kind: 'follower-killed' },
        atMilliseconds: at + GONE_AFTER_MILLISECONDS,
        forMilliseconds: GONE_MILLISECONDS,
      },
    );
  }
  return planned;
}

/**
 * Draws ends of processes under streams, changes of the holder, entries without paths, failing workers and
 * answers without an end, one over the other.
 */
export default function planEndings(
  milliseconds: number,
  { entries, plainWorkers, modelWorkers }: EndingSizes,
  random: RandomSource,
): readonly PlannedFault[] {
  const planned: PlannedFault[] = [...planHolderChanges(milliseconds)];
  const allPlain = Array.from({ length: plainWorkers }, (_, index) => index);
  for (
    let at = LINKING_MILLISECONDS;
    at < milliseconds;
    at += between(SHORTEST_GAP_MILLISECONDS, LONGEST_GAP_MILLISECONDS, random)
  ) {
    const entry = Math.floor(random.next() * entries);
    const plainWorker = Math.floor(random.next() * plainWorkers);
    const modelWorker = plainWorkers + Math.floor(random.next() * modelWorkers);
    const fault = pick<SoakFault>([
      { kind: 'entry-killed', entry },
      { kind: 'worker-crashes', worker: modelWorker },
      { kind: 'worker-crashes', worker: modelWorker },
      { kind: 'worker-crashes', worker: plainWorker },
      { kind: 'paths-cut', entries: [entry], state: 'reset' },
      { kind: 'paths-cut', entries: [entry], state: 'reset' },
      { kind: 'workers-answer', workers: allPlain, fault: 'endless' },
      { kind: 'workers-answer', workers: [plainWorker], fault: 'interim' },
      { kind: 'workers-answer', workers: allPlain, fault: 'failing' },
    ], random);
    planned.push({
      fault,
      atMilliseconds: at,
      forMilliseconds: between(SHORTEST_MILLISECONDS, LONGEST_MILLISECONDS, random)
        * (fault.kind === 'paths-cut' ? 2 : 1),
    });
  }
  return planned;
}

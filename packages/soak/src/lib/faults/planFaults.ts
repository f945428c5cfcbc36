import type { RandomSource } from '@dandelionlane/core';
import type { LinkState } from '@dandelionlane/standin';
import type StoreFault from '../store/StoreFault.js';
import type AnswerFault from '../workers/AnswerFault.js';
import type PlannedFault from './PlannedFault.js';
import type SoakFault from './SoakFault.js';
import pick from './pick.js';

/** Mean time between two beginnings of faults, in ms: below their length, so that they overlap. */
const MEAN_GAP_MILLISECONDS = 700;

const SHORTEST_MILLISECONDS = 200;
const LONGEST_MILLISECONDS = 4_000;

const LINK_STATES: readonly LinkState[] = ['silent', 'refused', 'one-way', 'slow'];
const STORE_FAULTS: readonly StoreFault[] = ['busy', 'silent', 'forgetful'];
const ANSWER_FAULTS: readonly AnswerFault[] = ['cut', 'lost', 'extra', 'failing', 'mute'];

function drawFault(entries: number, workers: number, random: RandomSource): SoakFault {
  const entry = Math.floor(random.next() * entries);
  const worker = Math.floor(random.next() * workers);
  const state = pick(LINK_STATES, random);
  return pick<SoakFault>([
    { kind: 'entry-killed', entry },
    { kind: 'entry-paused', entry },
    { kind: 'entry-terminated', entry },
    { kind: 'all-entries-killed' },
    { kind: 'store-fails', fault: pick(STORE_FAULTS, random) },
    { kind: 'store-forgets' },
    { kind: 'store-link', entry, state },
    { kind: 'caller-link', entry, state },
    { kind: 'worker-link', worker, state },
    { kind: 'worker-crashes', worker },
    { kind: 'worker-leaves', worker },
    ...ANSWER_FAULTS.map((fault): SoakFault => ({ kind: 'worker-answers', worker, fault })),
    { kind: 'configuration-changes' },
  ], random);
}

/** Draws the faults of a soak, in the order of their beginnings. They come in series and overlap. */
export default function planFaults(
  milliseconds: number,
  entries: number,
  workers: number,
  random: RandomSource,
): readonly PlannedFault[] {
  const planned: PlannedFault[] = [];
  for (let at = MEAN_GAP_MILLISECONDS; at < milliseconds; at += MEAN_GAP_MILLISECONDS * 2 * random.next()) {
    planned.push({
      fault: drawFault(entries, workers, random),
      atMilliseconds: Math.round(at),
      forMilliseconds: Math.round(
        SHORTEST_MILLISECONDS + (LONGEST_MILLISECONDS - SHORTEST_MILLISECONDS) * random.next(),
      ),
    });
  }
  return planned;
}

import type { RandomSource } from '@dandelionlane/core';
import type { LinkState } from '@dandelionlane/standin';
import type StoreFault from '../store/StoreFault.js';
import type PlannedFault from './PlannedFault.js';
import type SoakFault from './SoakFault.js';
import pick from './pick.js';

/** Bounds of a time that is drawn, in ms. */
type Bounds = readonly [shortest: number, longest: number];

/** What is drawn of one kind of planned work or of what goes on beside it. */
interface Series {
  /** Time between two beginnings. */
  readonly gap: Bounds;
  readonly length: Bounds;
  readonly draw: (index: number) => SoakFault;
}

const SILENCE_GAP: Bounds = [1_200, 3_000];
const SILENCE_LENGTH: Bounds = [800, 1_500];
const LOWEST_SHARE = 0.3;

const CHANGE_GAP: Bounds = [1_500, 4_000];

const STORE_GAP: Bounds = [2_000, 5_000];
const STORE_LENGTH: Bounds = [200, 2_000];
const STORE_FAULTS: readonly StoreFault[] = ['busy', 'silent', 'forgetful'];

/** Time before SIGTERM from which the link to the store is in the state that is drawn for a stop. */
const LINK_LEAD: Bounds = [0, 500];
const STOP_LINK_STATES: readonly LinkState[] = ['open', 'slow', 'slow', 'silent'];

/** Longest gap between two stops, as a multiple of the shortest one. */
const STOP_GAP_SPREAD = 1.5;

/** Time after the grace period by which a process is gone, in ms. */
const STOP_MARGIN_MILLISECONDS = 1_000;

function between([shortest, longest]: Bounds, random: RandomSource): number {
  return Math.round(shortest + (longest - shortest) * random.next());
}

function drawSeries(
  { gap, length, draw }: Series,
  milliseconds: number,
  random: RandomSource,
): readonly PlannedFault[] {
  const planned: PlannedFault[] = [];
  for (let at = between(gap, random) / 2; at < milliseconds; at += between(gap, random)) {
    planned.push({
      fault: draw(planned.length),
      atMilliseconds: Math.round(at),
      forMilliseconds: between(length, random),
    });
  }
  return planned;
}

function drawSilence(workers: number, random: RandomSource): SoakFault {
  const share = LOWEST_SHARE + (1 - LOWEST_SHARE) * random.next();
  const silent = Array.from({ length: workers }, (_, index) => index).filter(() => random.next() < share);
  return { kind: 'workers-silent', workers: silent };
}

/**
 * Draws planned work: stops of entries and new configurations, while the store fails and workers
 * that are sound fall silent for about a second. Some entry always goes on. It is drawn apart from
 * the other faults, so that a seed draws those as it did before.
 */
export default function planWork(
  milliseconds: number,
  entries: number,
  workers: number,
  graceMilliseconds: number,
  random: RandomSource,
): readonly PlannedFault[] {
  const stopGap = (graceMilliseconds + STOP_MARGIN_MILLISECONDS) / Math.max(entries - 1, 1);
  const first = Math.floor(random.next() * entries);
  const series: readonly Series[] = [
    {
      gap: SILENCE_GAP,
      length: SILENCE_LENGTH,
      draw: () => drawSilence(workers, random),
    },
    {
      gap: [stopGap, stopGap * STOP_GAP_SPREAD],
      length: LINK_LEAD,
      draw: (index) => ({
        kind: 'entry-stopped', entry: (first + index) % entries, storeLink: pick(STOP_LINK_STATES, random),
      }),
    },
    {
      gap: CHANGE_GAP,
      length: [0, 0],
      draw: () => ({ kind: 'configuration-changes' }),
    },
    {
      gap: STORE_GAP,
      length: STORE_LENGTH,
      draw: () => pick<SoakFault>([
        { kind: 'store-fails', fault: pick(STORE_FAULTS, random) },
        { kind: 'store-link', entry: Math.floor(random.next() * entries), state: pick(['slow', 'silent'], random) },
      ], random),
    },
  ];
  return series.flatMap((each) => drawSeries(each, milliseconds, random))
    .sort((one, other) => one.atMilliseconds - other.atMilliseconds);
}

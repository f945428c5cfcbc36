import { SeededRandom } from '@dandelionlane/core';
import DEFAULT_GRACE_SECONDS from '../DEFAULT_GRACE_SECONDS.js';
import type SoakOptions from '../SoakOptions.js';
import type PlannedFault from './PlannedFault.js';
import planEndings from './planEndings.js';
import planEntryFaults from './planEntryFaults.js';
import planFaults from './planFaults.js';
import planPathCuts from './planPathCuts.js';
import planRestorations from './planRestorations.js';
import planVanishings from './planVanishings.js';
import planWork from './planWork.js';

const MILLISECONDS = 1_000;

/** Availability zones that entries are spread over. */
const ZONE_COUNT = 2;

/** Sizes of what faults are drawn for. */
interface CourseSizes {
  readonly entries: number;
  readonly workers: number;
  /** Workers, from the first, that are plain. */
  readonly plainWorkers: number;
  /** Workers, from the first, that may fail. */
  readonly faultyWorkers: number;
}

/**
 * Draws the faults of a course. Each kind of course draws from its own seed, and a course that
 * leaves faults out draws the others as it does with them.
 */
export default function planCourse(
  {
    seed, seconds, restorations, course = 'all', grace = DEFAULT_GRACE_SECONDS,
  }: SoakOptions,
  {
    entries, workers, plainWorkers, faultyWorkers,
  }: CourseSizes,
): readonly PlannedFault[] {
  const milliseconds = seconds * MILLISECONDS;
  const unplanned = planFaults(milliseconds, entries, faultyWorkers, new SeededRandom(seed));
  const work = planWork(milliseconds, entries, workers, grace * MILLISECONDS, new SeededRandom(seed + 4));
  const restored = planRestorations(milliseconds, restorations, new SeededRandom(seed + 3));
  switch (course) {
    case 'all':
      return [...unplanned, ...work, ...restored];
    case 'unplanned':
      return [...unplanned, ...restored];
    case 'planned':
      return [...work, ...restored];
    case 'stops':
      return [...work.filter(({ fault }) => fault.kind !== 'workers-silent'), ...restored];
    case 'silences':
      return [...work.filter(({ fault }) => fault.kind !== 'entry-stopped'), ...restored];
    case 'paths':
      return planPathCuts(milliseconds, entries, ZONE_COUNT, new SeededRandom(seed + 5));
    case 'crashes':
      return planEntryFaults(milliseconds, entries, new SeededRandom(seed + 6));
    case 'endings':
      return planEndings(milliseconds, {
        entries, plainWorkers, modelWorkers: faultyWorkers - plainWorkers,
      }, new SeededRandom(seed + 7));
    case 'vanishings':
      return planVanishings(milliseconds, {
        entries, plainWorkers, modelWorkers: faultyWorkers - plainWorkers,
      }, new SeededRandom(seed + 8));
    default:
      return course satisfies never;
  }
}

import { SeededRandom } from '@dandelionlane/core';
import type SoakEntry from '../entries/SoakEntry.js';
import type SoakCourse from '../faults/SoakCourse.js';
import type SoakJournal from '../journal/SoakJournal.js';
import BatchCaller from './BatchCaller.js';
import DirectoryReader from './DirectoryReader.js';
import drawBurst from './drawBurst.js';
import drawCrashingRequest from './drawCrashingRequest.js';

/** Added to a seed for the caller whose request ends workers. */
const CRASHING_SEED = 50;

/** Added to a seed for the caller of bursts. */
const BURST_SEED = 60;

/** A caller that goes on until it is told to stop. */
interface CourseCaller {
  readonly run: (isOver: () => boolean) => Promise<void>;
}

/** Creates the callers that only one course has. */
export default function createCourseCallers(
  course: SoakCourse,
  journal: SoakJournal,
  entries: readonly SoakEntry[],
  seed: number,
): readonly CourseCaller[] {
  switch (course) {
    case 'crashes': {
      const random = new SeededRandom(seed + CRASHING_SEED);
      return [new BatchCaller(journal, (sent) => drawCrashingRequest(entries, sent, random))];
    }
    case 'endings':
    case 'vanishings': {
      const random = new SeededRandom(seed + BURST_SEED);
      return [
        new DirectoryReader(journal, entries),
        new BatchCaller(journal, (sent) => drawBurst(entries, sent, random)),
      ];
    }
    case 'all':
    case 'unplanned':
    case 'planned':
    case 'stops':
    case 'silences':
    case 'paths':
      return [];
    default:
      return course satisfies never;
  }
}

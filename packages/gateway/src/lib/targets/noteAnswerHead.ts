import type { RandomSource } from '@dandelionlane/core';
import type { WorkerTable } from '@dandelionlane/fleet';
import type Candidate from '../choice/Candidate.js';
import MISDIRECTED_STATUS from '../relay/MISDIRECTED_STATUS.js';
import type AnswerHead from '../wire/AnswerHead.js';

/** Statuses with which a target turns requests away for a while. */
const TURNED_AWAY: ReadonlySet<number> = new Set([429, 503]);

/** Longest pause that counts, in ms: a target that names a longer one is asked hourly. */
const LONGEST_PAUSE_MILLISECONDS = 3_600_000;

/** Largest part that is added to the time that a target names, so that entries come back one by one. */
const LONGEST_DELAY_SHARE = 0.1;

/** What answers are noted in. */
interface NoteParts {
  readonly workers: WorkerTable;
  readonly random: RandomSource;
}

/** Notes what the head of an answer tells of the target itself. */
export default function noteAnswerHead(
  { workers, random }: NoteParts,
  { entry: { worker }, state }: Candidate,
  status: number,
  head: AnswerHead,
): void {
  if (status === MISDIRECTED_STATUS) {
    // Another worker has answered at this address.
    return;
  }
  if (head.load !== null) {
    state.loadReported(head.load);
  }
  if (head.leaving) {
    workers.markLeaving(worker);
  }
  if (TURNED_AWAY.has(status) && head.retryAfterMilliseconds !== null) {
    const pause = Math.min(head.retryAfterMilliseconds, LONGEST_PAUSE_MILLISECONDS);
    state.holdOff(worker.bornAt, pause * (1 + random.next() * LONGEST_DELAY_SHARE));
  }
}

import type SoakJournal from './SoakJournal.js';
import type Violation from './Violation.js';
import groupRuns from './groupRuns.js';

/** Workers that the routes of a soak allow for a request that may run again. */
const MAXIMUM_WORKERS = 2;

const ALLOWED_REQUESTS = 3;

/** Time before a run in which the end of a worker, or of the link to it, excuses the run, in ms. */
const CUT_MILLISECONDS = 1_000;

/** Requests that ran on more workers than their routes allow; workers that ended meanwhile do not count. */
export default function checkAttempts(journal: SoakJournal): readonly Violation[] {
  const beyond = [...groupRuns(journal.runs)].filter(([, runs]) => {
    const startedAt = runs.map((run) => run.startedAt);
    const lost = journal.disturbedParts(Math.min(...startedAt) - CUT_MILLISECONDS, Math.max(...startedAt))
      .flatMap((part) => (part.kind === 'worker' || part.kind === 'worker-link' ? [part.worker] : []));
    return new Set(runs.map(({ worker }) => worker).filter((worker) => !lost.includes(worker))).size
      > MAXIMUM_WORKERS;
  });
  return beyond.length <= ALLOWED_REQUESTS ? [] : [{
    promise: 'attempts',
    detail: `${beyond.length} requests ran on more than ${MAXIMUM_WORKERS} workers: ${
      beyond.slice(0, ALLOWED_REQUESTS).map(([id]) => id).join(', ')}`,
    timed: false,
  }];
}

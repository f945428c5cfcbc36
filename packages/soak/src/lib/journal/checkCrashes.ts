import SOAK_NAMES from '../SOAK_NAMES.js';
import type SoakJournal from './SoakJournal.js';
import type Violation from './Violation.js';

/** Ends of workers under one request after which few more may reach workers. */
const ENDS = 3;

/** Time after the last of them from which requests count, in ms: the users' `stable_window_ms`. */
const STABLE_MILLISECONDS = 3_000;

const ALLOWED_LATER = 3;

/** A request that went on to reach workers after it had ended several of them. */
export default function checkCrashes(journal: SoakJournal): readonly Violation[] {
  const runs = journal.runs.filter(({ body }) => body === SOAK_NAMES.crashingBody);
  const ends = runs.flatMap(({ brokenAt }) => brokenAt ?? []).sort((one, other) => one - other);
  const decisive = ends[ENDS - 1];
  if (decisive === undefined) {
    return [];
  }
  const later = runs.filter(({ startedAt, requestId }) => {
    const entry = journal.requests.get(requestId)?.entry;
    return startedAt > decisive + STABLE_MILLISECONDS
      && !journal.disturbedParts(startedAt - STABLE_MILLISECONDS, startedAt)
        .some((part) => part.kind === 'entry' && part.entry === entry);
  });
  return later.length <= ALLOWED_LATER ? [] : [{
    promise: 'crashes',
    detail: `a request under which ${ENDS} workers had ended reached workers ${later.length} times more; `
      + `${ends.length} ended in all`,
    timed: false,
  }];
}

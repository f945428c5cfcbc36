import type SoakJournal from './SoakJournal.js';
import type Violation from './Violation.js';
import measurePathCuts from './measurePathCuts.js';

/** Least share of what the other entries serve that entries without paths have to serve. */
const LEAST_SHARE = 2 / 3;

/** Failures that are allowed in any case: a number and a share of all requests. */
const ALLOWED_FAILURES = 10;
const ALLOWED_SHARE = 1 / 50;

/** Cuts of paths in which the entries without paths served their callers far worse than the others did. */
export default function checkPathCuts(journal: SoakJournal): readonly Violation[] {
  return measurePathCuts(journal).flatMap(({ entries, here, elsewhere }) => {
    if (here.requests === 0 || elsewhere.requests === 0) {
      return [];
    }
    const failures = here.requests - here.served;
    const isWorse = here.served / here.requests < (elsewhere.served / elsewhere.requests) * LEAST_SHARE
      && failures > ALLOWED_FAILURES + (here.requests + elsewhere.requests) * ALLOWED_SHARE;
    return isWorse ? [{
      promise: 'paths',
      detail: `${entries.join(', ')} without paths served ${here.served} of ${here.requests}, `
        + `the others ${elsewhere.served} of ${elsewhere.requests}`,
      timed: false,
    }] : [];
  });
}

import type PathCut from './PathCut.js';
import type SentRequest from './SentRequest.js';
import type SoakJournal from './SoakJournal.js';
import isServed from './isServed.js';

/** Time from the beginning of a cut from which it counts, in ms: the users' `stable_window_ms`. */
const STABLE_MILLISECONDS = 3_000;

/** Requests and how many of them were served. */
interface ServedShare {
  readonly requests: number;
  readonly served: number;
}

/** How entries without paths to the workers served their callers, beside the others. */
interface PathCutMeasure extends PathCut {
  readonly here: ServedShare;
  readonly elsewhere: ServedShare;
}

/** Whether a request fell into the part of a cut that counts, with its entry and its link undisturbed. */
function counts(request: SentRequest, { from, to }: PathCut, journal: SoakJournal): boolean {
  const {
    sentAt, entry, overLink, outcome,
  } = request;
  return outcome !== null && sentAt >= from + STABLE_MILLISECONDS && outcome.endedAt <= to
    && !journal.disturbedParts(sentAt - STABLE_MILLISECONDS, outcome.endedAt).some((part) => (
      (part.kind === 'entry' && part.entry === entry)
        || (part.kind === 'caller-link' && part.entry === entry && overLink)
    ));
}

function measure(requests: readonly SentRequest[]): ServedShare {
  return { requests: requests.length, served: requests.filter(isServed).length };
}

/** Measures each cut of paths from the time at which it counts to its end. */
export default function measurePathCuts(journal: SoakJournal): readonly PathCutMeasure[] {
  return journal.pathCuts().map((cut) => {
    const requests = [...journal.requests.values()].filter((request) => counts(request, cut, journal));
    return {
      ...cut,
      here: measure(requests.filter(({ entry }) => cut.entries.includes(entry))),
      elsewhere: measure(requests.filter(({ entry }) => !cut.entries.includes(entry))),
    };
  });
}

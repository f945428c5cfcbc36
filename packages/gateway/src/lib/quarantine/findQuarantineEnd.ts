import type { PromptPartId } from '@dandelionlane/core';
import isWholeRequest from './isWholeRequest.js';
import type TargetCrash from './TargetCrash.js';

/** Crashes of distinct processes, with nothing served in between, after which a part is quarantined. */
const MINIMUM_CRASHES = 3;

/**
 * Shortest time from the first to the last of them, in ms. Workers that are lost together take along
 * requests with the same parts, and it takes several messages to hear that a part is served elsewhere.
 */
const MINIMUM_SPAN_MILLISECONDS = 1_000;

/** Time after the start of a quarantine in which requests that were under way may crash targets, in ms. */
const UNDER_WAY_MILLISECONDS = 3_000;

/** Time from the last crash to a trial, in ms; each failed trial multiplies it. */
const FIRST_TERM_MILLISECONDS = 30_000;

const TERM_FACTOR = 4;

const LONGEST_TERM_MILLISECONDS = 3_600_000;

/** How crashes that all came within the shortest time hold a part back: their cause may be another one. */
interface BriefQuarantine {
  /** Time from the first crash to the beginning, in ms. */
  readonly delayMilliseconds: number;
  /** Time from the last crash to a trial, in ms. */
  readonly termMilliseconds: number;
}

/** By its beginning others have told whether they served the part; by the trial, whether it crashed more. */
const BRIEF_FOR_PARTS: BriefQuarantine = {
  delayMilliseconds: MINIMUM_SPAN_MILLISECONDS, termMilliseconds: 2_000,
};

/** No other request is held back with a request as a whole. */
const BRIEF_FOR_REQUESTS: BriefQuarantine = { delayMilliseconds: 0, termMilliseconds: 1_000 };

function findBriefEnd(
  { delayMilliseconds, termMilliseconds }: BriefQuarantine,
  first: TargetCrash,
  last: TargetCrash,
  now: number,
): number | null {
  return now - first.at < delayMilliseconds ? null : last.at + termMilliseconds;
}

/**
 * Returns the monotonic time until which no request with a part is sent to targets, in ms; null for a part
 * that is not quarantined. From then on one request may try whether the part still crashes targets.
 * @param crashes Crashes with the part since it was last served, in order of time.
 * @param now Monotonic time, in ms.
 */
export default function findQuarantineEnd(
  part: PromptPartId,
  crashes: readonly TargetCrash[],
  now: number,
): number | null {
  const [first] = crashes;
  const last = crashes.at(-1);
  if (first === undefined || last === undefined || crashes.length < MINIMUM_CRASHES) {
    return null;
  }
  const decisive = crashes.find(({ at }, index) => (
    index + 1 >= MINIMUM_CRASHES && at - first.at >= MINIMUM_SPAN_MILLISECONDS
  ));
  if (decisive === undefined) {
    return findBriefEnd(isWholeRequest(part) ? BRIEF_FOR_REQUESTS : BRIEF_FOR_PARTS, first, last, now);
  }
  const failedTrials = crashes.filter(({ at }) => at > decisive.at + UNDER_WAY_MILLISECONDS).length;
  const term = Math.min(FIRST_TERM_MILLISECONDS * TERM_FACTOR ** failedTrials, LONGEST_TERM_MILLISECONDS);
  return last.at + term;
}

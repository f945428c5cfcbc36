import type { RandomSource } from '@dandelionlane/core';

/** Longest `Retry-After` in expected times: returns spread over the time that the queue needs once more. */
const SPREAD_FACTOR = 2;

/** Share of its remaining time for which a caller waits; it has the rest to be served. */
const REMAINING_SHARE = 1 / 3;

const MILLISECONDS_PER_SECOND = 1_000;

/** Inputs of `drawRetrySeconds`. */
interface RetryDraw {
  /** Time after which a target is expected to be free, in s. */
  readonly expectedSeconds: number;
  /** Time until the deadline of the request, in ms. */
  readonly remainingMilliseconds: number;
  readonly random: RandomSource;
}

/**
 * Draws a `Retry-After`, in s: from the expected time to twice that, within the time for which the
 * caller waits. Callers that were refused at once, as after a restart of all entries, return spread out.
 */
export default function drawRetrySeconds({
  expectedSeconds, remainingMilliseconds, random,
}: RetryDraw): number {
  const longest = Math.min(
    expectedSeconds * SPREAD_FACTOR,
    (Math.max(0, remainingMilliseconds) * REMAINING_SHARE) / MILLISECONDS_PER_SECOND,
  );
  const shortest = Math.min(expectedSeconds, longest / SPREAD_FACTOR);
  const seconds = shortest + random.next() * (longest - shortest);
  return Math.ceil(seconds * MILLISECONDS_PER_SECOND) / MILLISECONDS_PER_SECOND;
}

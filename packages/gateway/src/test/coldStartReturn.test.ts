import { expect, test } from 'vitest';
import { SeededRandom } from '@dandelionlane/core';
import ColdStartLimiter from '../lib/targets/ColdStartLimiter.js';

const STEP_MILLISECONDS = 20;
const COLD_MILLISECONDS = 10_000;

/** Bound of the users on requests of all entries to a cold target in one second. */
function allowed(requestsPerSecond: number): number {
  return requestsPerSecond * 1.5 + 5;
}

// Guards against entries that all idle at a cold target and then send at once.
test.each([
  [9, 38], [73, 38], [195, 38], [300, 38], [300, 4],
])('%i entries that return together keep within %i a second of a cold target', (entries, requestsPerSecond) => {
  [1, 2, 3, 4, 5].forEach((seed) => {
    const random = new SeededRandom(seed);
    const limiters = Array.from({ length: entries }, () => new ColdStartLimiter());
    const sends: number[] = [];
    for (let now = 0; now < COLD_MILLISECONDS; now += STEP_MILLISECONDS) {
      limiters.forEach((limiter) => {
        const limit = { coldUntil: COLD_MILLISECONDS, requestsPerSecond, entries };
        if (limiter.admits(limit, now, random) && now % 5_000 > 3_000) {
          limiter.recordSend(now);
          sends.push(now);
        }
      });
    }
    const most = Math.max(...sends.map((from) => (
      sends.filter((at) => at >= from && at < from + 1_000).length
    )));
    expect(most).toBeLessThanOrEqual(allowed(requestsPerSecond));
  });
});

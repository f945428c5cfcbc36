import { expect, test } from 'vitest';
import { ManualClock, SeededRandom, WorkerId } from '@dandelionlane/core';
import SharedRateLimiter from '../lib/targets/SharedRateLimiter.js';
import LimitTracker from '../lib/targets/LimitTracker.js';
import TargetStates from '../lib/targets/TargetStates.js';

const WINDOW_MILLISECONDS = 4_000;
const STEP_MILLISECONDS = 20;
const PLAY_MILLISECONDS = 24_000;
const SEEDS = [1, 2, 3, 4, 5];
const TARGET = WorkerId.parse('w');

/** Bound of the users on requests of all entries in 4 s. */
function allowed(limit: number): number {
  return 1.5 * limit * (WINDOW_MILLISECONDS / 1_000) + 5;
}

/** Times at which entries send, where each sends whenever it may and `hasDemand` says so. */
function play(
  entries: number,
  limit: number,
  seed: number,
  hasDemand: (now: number) => boolean,
): readonly number[] {
  const random = new SeededRandom(seed);
  const limiters = Array.from({ length: entries }, () => new SharedRateLimiter());
  const sends: number[] = [];
  for (let now = 0; now < PLAY_MILLISECONDS; now += STEP_MILLISECONDS) {
    limiters.forEach((limiter) => {
      const wait = limiter.waitMilliseconds({ requestsPerSecond: limit, entries }, now, random);
      if (hasDemand(now) && wait <= 0) {
        limiter.recordSend();
        sends.push(now);
      }
    });
  }
  return sends;
}

function mostInWindow(sends: readonly number[]): number {
  return Math.max(0, ...sends.map((from) => (
    sends.filter((at) => at >= from && at < from + WINDOW_MILLISECONDS).length
  )));
}

const SIZES = [1, 8, 9, 73, 195, 300];
const LIMITS = [0.5, 1, 3.4, 6.3, 20];
const CASES = SIZES.flatMap((entries) => LIMITS.map((limit) => [entries, limit] as const));

// Guards against a back end that gets more than its limit from all entries together.
test.each(CASES)('%i entries that press keep within a limit of %d a second', (entries, limit) => {
  SEEDS.forEach((seed) => {
    const sends = play(entries, limit, seed, () => true);
    expect(mostInWindow(sends)).toBeLessThanOrEqual(allowed(limit));
    // They leave no more than half of it unused.
    expect(sends.length).toBeGreaterThanOrEqual((limit * PLAY_MILLISECONDS) / 1_000 / 2 - 2);
  });
});

// Guards against entries that all idle under a limit and then send at once.
test.each(CASES)('%i entries that return together keep within a limit of %d a second', (entries, limit) => {
  SEEDS.forEach((seed) => {
    const sends = play(entries, limit, seed, (now) => now % 8_000 > 6_000);
    expect(mostInWindow(sends)).toBeLessThanOrEqual(allowed(limit));
  });
});

test('a limit is told, lifted and told to be lifted', () => {
  const clock = new ManualClock();
  const [holder, entry] = [new TargetStates(clock), new TargetStates(clock)];
  entry.of(TARGET).limit.record({ bornAt: 1, requestsPerSecond: 3.4 });
  holder.recordSharedLimits(entry.limitsToTell());
  expect(holder.of(TARGET).limit.requestsPerSecond(1)).toBe(3.4);
  expect(holder.limitsToTell()).toMatchObject([{ id: TARGET, bornAt: 1, requestsPerSecond: 3.4 }]);
  clock.advance(1_000);
  expect([holder.limitsToTell(), holder.limitsToTell(true).length]).toEqual([[], 1]);
  entry.of(TARGET).limit.record({ bornAt: 1, requestsPerSecond: null });
  holder.recordSharedLimits(entry.limitsToTell());
  expect(holder.of(TARGET).limit.requestsPerSecond(1)).toBeNull();
});

test('an older observation of a limit is ignored, and a new process has none', () => {
  const clock = new ManualClock(10_000);
  const limit = new LimitTracker(clock);
  limit.record({ bornAt: 1, requestsPerSecond: 3 });
  expect(limit.record({ bornAt: 1, requestsPerSecond: null }, 500)).toBe(false);
  expect([limit.requestsPerSecond(1), limit.requestsPerSecond(2)]).toEqual([3, null]);
});

test('what was heard of a former process does not hide the limit of its successor', () => {
  const limit = new LimitTracker(new ManualClock(10_000));
  limit.record({ bornAt: 2, requestsPerSecond: 3 });
  limit.record({ bornAt: 1, requestsPerSecond: 5 }, 200);
  expect(limit.requestsPerSecond(2)).toBe(3);
});

test('a limit of nothing is still tried now and then', () => {
  expect(play(1, 0, 1, () => true).length).toBeGreaterThan(0);
  expect(mostInWindow(play(300, 0, 1, () => true))).toBeLessThanOrEqual(allowed(0));
});

import { expect, test } from 'vitest';
import { ManualClock, SystemClock } from '@dandelionlane/core';
import timerUntil from '../lib/requests/timerUntil.js';

// Guards against requests that end at once because their deadline is too far away for a timer.
test.each([[1e10], [1e300], [Number.POSITIVE_INFINITY]])('a timer for %d ms is not over at once', (at) => {
  expect(timerUntil(new ManualClock(), at)).toBe(2 ** 31 - 1);
});

test('a timer does not fire early', () => {
  expect(timerUntil(new ManualClock(50), 100)).toBe(51);
  expect(timerUntil(new ManualClock(50), 10)).toBe(1);
});

test('a timer does not fire before its time', async () => {
  const clock = new SystemClock();
  const early = await Promise.all(Array.from({ length: 200 }, async (_, index) => {
    const at = clock.monotonicMilliseconds() + 5 + index / 100;
    await new Promise((resolve) => {
      setTimeout(resolve, timerUntil(clock, at));
    });
    return clock.monotonicMilliseconds() < at;
  }));
  expect(early.filter(Boolean)).toEqual([]);
});

test('a time that has passed is due at once', () => {
  expect(timerUntil(new ManualClock(500), 100)).toBe(1);
});

import { expect, test } from 'vitest';
import { ManualClock, SystemClock } from '@dandelionlane/core';
import timerUntil from '../lib/requests/timerUntil.js';

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

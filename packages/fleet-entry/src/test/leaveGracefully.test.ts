import { expect, test, vi } from 'vitest';
import { ManualClock } from '@dandelionlane/core';
import leaveGracefully from '../lib/leaveGracefully.js';

const GRACE_MILLISECONDS = 8_000;
const never = () => new Promise<void>(() => {
  // Stands for a store that does not answer.
});

/** Leaves under a clock of its own; returns the time it took, in ms. */
async function leave(overrides: Partial<Parameters<typeof leaveGracefully>[0]>): Promise<number> {
  vi.useFakeTimers();
  const clock = new ManualClock();
  let left = false;
  const leaving = leaveGracefully({
    clock,
    graceMilliseconds: GRACE_MILLISECONDS,
    countInFlight: () => 0,
    announce: () => Promise.resolve(),
    deregister: () => Promise.resolve(),
    ...overrides,
  }).then(() => {
    left = true;
  });
  while (!left && clock.monotonicMilliseconds() < 3 * GRACE_MILLISECONDS) {
    clock.advance(10);
    await vi.advanceTimersByTimeAsync(10);
  }
  vi.useRealTimers();
  await Promise.race([leaving, Promise.resolve()]);
  return clock.monotonicMilliseconds();
}

test('an idle entry serves on while callers keep its address', async () => {
  const took = await leave({});
  expect(took).toBeGreaterThanOrEqual(4_000);
  expect(took).toBeLessThan(5_000);
});

test('a store that does not answer holds up nothing', async () => {
  expect(await leave({ announce: never, deregister: never })).toBeLessThan(5_000);
});

test('requests that do not end are left before the grace period ends', async () => {
  const took = await leave({ countInFlight: () => 1, announce: never, deregister: never });
  expect(took).toBeLessThan(GRACE_MILLISECONDS);
});

test('an entry withdraws after its announcement', async () => {
  const steps: string[] = [];
  const note = (step: string) => () => {
    steps.push(step);
    return Promise.resolve();
  };
  await leave({ announce: note('announce'), deregister: note('withdraw') });
  expect(steps).toEqual(['announce', 'withdraw']);
});

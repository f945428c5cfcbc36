import { expect, test, vi } from 'vitest';
import { ManualClock } from '@dandelionlane/core';
import leaveGracefully from '../lib/leaveGracefully.js';

const GRACE_MILLISECONDS = 8_000;
const never = () => new Promise<void>(() => {
  // Simulates a store that does not answer.
});

/** A server with a given number of requests in flight, each on a connection of its own. */
function serverWith(requests: number) {
  return {
    inFlight: requests,
    get open() {
      return this.inFlight;
    },
    stopListening: () => undefined,
    closeUnused: () => undefined,
    endAll: () => undefined,
  };
}

/** Leaves under a manual clock; returns the duration, in ms. */
async function leave(overrides: Partial<Parameters<typeof leaveGracefully>[0]>): Promise<number> {
  vi.useFakeTimers();
  const clock = new ManualClock();
  let hasLeft = false;
  const leaving = leaveGracefully({
    clock,
    graceMilliseconds: GRACE_MILLISECONDS,
    callers: serverWith(0),
    announce: () => Promise.resolve(),
    deregister: () => Promise.resolve(),
    ...overrides,
  }).then(() => {
    hasLeft = true;
  });
  while (!hasLeft && clock.monotonicMilliseconds() < 3 * GRACE_MILLISECONDS) {
    clock.advance(10);
    await vi.advanceTimersByTimeAsync(10);
  }
  vi.useRealTimers();
  await Promise.race([leaving, Promise.resolve()]);
  return clock.monotonicMilliseconds();
}

test('an idle entry keeps serving while callers cache its address', async () => {
  const durationMilliseconds = await leave({});
  expect(durationMilliseconds).toBeGreaterThanOrEqual(4_000);
  expect(durationMilliseconds).toBeLessThan(5_000);
});

test('a store that does not answer does not delay leaving', async () => {
  expect(await leave({ announce: never, deregister: never })).toBeLessThan(5_000);
});

test('requests that do not finish are abandoned before the grace period ends', async () => {
  const durationMilliseconds = await leave({
    callers: serverWith(1), announce: never, deregister: never,
  });
  expect(durationMilliseconds).toBeLessThan(GRACE_MILLISECONDS);
});

// Guards against requests that ran and got no answer, as the process ended after a last call to the store.
test('a request that begins during the last call to the store is waited for', async () => {
  const server = serverWith(0);
  let inFlightAtEnd = Number.NaN;
  const duration = await leave({
    callers: server,
    deregister: async () => {
      server.inFlight = 1;
      setTimeout(() => {
        server.inFlight = 0;
      }, 1_000);
      return Promise.resolve();
    },
  }).finally(() => {
    inFlightAtEnd = server.inFlight;
  });
  expect(inFlightAtEnd).toBe(0);
  expect(duration).toBeLessThan(GRACE_MILLISECONDS);
});

test('an entry deregisters after its announcement', async () => {
  const steps: string[] = [];
  const record = (step: string) => () => {
    steps.push(step);
    return Promise.resolve();
  };
  await leave({ announce: record('announce'), deregister: record('deregister') });
  expect(steps).toEqual(['announce', 'deregister']);
});

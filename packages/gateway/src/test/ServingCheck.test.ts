import { errAsync } from 'neverthrow';
import { expect, test } from 'vitest';
import { ManualClock, ServingError } from '@dandelionlane/core';
import { MetricsRegistry, type Log } from '@dandelionlane/telemetry';
import TargetStates from '../lib/targets/TargetStates.js';
import ServingCheck from '../lib/targets/ServingCheck.js';
import createWorker from './createWorker.js';

const LOG: Log = {
  debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};

/** Asks about a plain target. Returns whether it goes on, and how often it was looked at after the probe. */
async function check(answers: boolean, refusals: readonly boolean[]): Promise<readonly [boolean, number]> {
  const left = [...refusals];
  const servingCheck = new ServingCheck({
    report: () => errAsync(new ServingError('no report', { kind: 'target-lost' })),
    probe: () => Promise.resolve(answers),
    refusesConnections: () => Promise.resolve(left.shift() ?? false),
    log: LOG,
    metrics: new MetricsRegistry(),
  });
  const worker = createWorker(1);
  const isServing = await servingCheck.isServing({
    entry: {
      worker,
      group: null,
      models: [],
      coldUntil: Number.NEGATIVE_INFINITY,
      lapsedAt: null,
      hasAnnouncedLeaving: false,
    },
    state: new TargetStates(new ManualClock()).of(worker.id),
    formation: '',
    slots: 1,
    isGroupComplete: true,
    peer: null,
  });
  return [isServing, refusals.length - left.length];
}

// Guards against whole answers without a length that wait before they are passed on.
test('a plain target that answers goes on, without a further look', async () => {
  expect(await check(true, [true])).toEqual([true, 0]);
});

test('a plain target that refuses connections has ended, at once or as its port closes', async () => {
  expect(await check(false, [true])).toEqual([false, 1]);
  expect(await check(false, [false, true])).toEqual([false, 2]);
});

test('a plain target that takes connections and does not answer may be at its limit', async () => {
  expect(await check(false, [false, false])).toEqual([true, 2]);
});

import { errAsync } from 'neverthrow';
import { expect, test } from 'vitest';
import { ManualClock, ServingError } from '@dandelionlane/core';
import type { ProbeOutcome } from '@dandelionlane/fleet';
import { MetricsRegistry, type Log } from '@dandelionlane/telemetry';
import TargetStates from '../lib/targets/TargetStates.js';
import ServingCheck from '../lib/targets/ServingCheck.js';
import createWorker from './createWorker.js';

const LOG: Log = {
  debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};

/** How a plain target takes a probe, and how long that lasts in ms. */
type Probe = readonly [ProbeOutcome, number];

/**
 * Asks about a plain target, which stays as it is after its last probe. Returns whether it goes on, and how
 * often it was asked.
 */
async function check(probes: readonly Probe[], isReplaced = false): Promise<readonly [boolean, number]> {
  const clock = new ManualClock();
  let asked = 0;
  const servingCheck = new ServingCheck({
    report: () => errAsync(new ServingError('no report', { kind: 'target-lost' })),
    probe: () => {
      const [outcome, milliseconds] = probes[Math.min(asked, probes.length - 1)] ?? ['unanswered', 0];
      asked += 1;
      clock.advance(milliseconds);
      return Promise.resolve(outcome);
    },
    workers: { isReplaced: () => isReplaced },
    clock,
    log: LOG,
    metrics: new MetricsRegistry(),
  });
  const worker = createWorker(1);
  const isServing = await servingCheck.begin({
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
  }).isServing();
  return [isServing, asked];
}

// Guards against whole answers without a length that wait before they are passed on.
test('a plain target that answers goes on, without a further look', async () => {
  expect(await check([['answered', 1]])).toEqual([true, 1]);
});

test('a plain target that refuses connections has ended, at once or as its port closes', async () => {
  expect(await check([['refused', 1]])).toEqual([false, 1]);
  expect(await check([['unanswered', 1], ['refused', 1]])).toEqual([false, 2]);
});

// Half of an answer was passed on as whole: a target that took connections counted as alive.
test('a plain target that takes connections and does not answer does not count as going on', async () => {
  expect(await check([['unanswered', 1_000]])).toEqual([false, 2]);
});

test('a plain target at its limit goes on once it answers', async () => {
  expect(await check([['unanswered', 1], ['unanswered', 1], ['answered', 1]])).toEqual([true, 3]);
  expect(await check([['unanswered', 1_000], ['answered', 1]])).toEqual([true, 2]);
});

test('another process at the address is not the target', async () => {
  expect(await check([['answered', 1]], true)).toEqual([false, 1]);
  expect(await check([['misdirected', 1]])).toEqual([false, 1]);
});

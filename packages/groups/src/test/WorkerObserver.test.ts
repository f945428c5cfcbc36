import { okAsync } from 'neverthrow';
import { expect, test } from 'vitest';
import {
  Epoch, FencingNumber, GroupName, ManualClock, ModelName,
} from '@dandelionlane/core';
import type { Worker, WorkerPort, WorkerReport } from '@dandelionlane/fleet';
import { GroupWorker } from '@dandelionlane/standin';
import assessLiveness from '../lib/observation/assessLiveness.js';
import WorkerTracker from '../lib/observation/WorkerTracker.js';
import WorkerObserver from '../lib/observation/WorkerObserver.js';

const LOG = {
  debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};

/** Observes one worker whose address answers with the given report. */
async function observe(
  worker: Worker,
  answer: () => WorkerReport,
  reportLagMilliseconds = 0,
  onWorkerLeaving: (worker: Worker) => void = () => undefined,
) {
  const clock = new ManualClock(1_000);
  const port: WorkerPort = {
    report: () => okAsync(answer()),
    order: () => okAsync('done' as const),
  };
  const observer = new WorkerObserver({
    port, clock, log: LOG, reportLagMilliseconds: () => reportLagMilliseconds, onWorkerLeaving,
  });
  const round = async () => {
    observer.setObservedWorkers([worker]);
    observer.probeDueWorkers();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    clock.advance(2_000);
    return observer.observation().workers.get(worker.id);
  };
  return { observer, round, clock };
}

test('a worker that answers is alive', async () => {
  const worker = new GroupWorker('w', 5);
  const { round } = await observe(worker.worker(), () => worker.report());
  expect(assessLiveness(await round())).toBe('alive');
});

test('an answer of another instance means that the worker is gone', async () => {
  const worker = new GroupWorker('w', 5);
  const registered = worker.worker();
  const { round } = await observe(registered, () => ({ ...worker.report(), bornAt: 9 }));
  expect(assessLiveness(await round())).toBe('gone');
});

test('an accepted order is counted before a report shows it', async () => {
  const worker = new GroupWorker('w', 5);
  const { observer, round } = await observe(worker.worker(), () => worker.report());
  await round();
  observer.recordOrderSent(worker.id);
  expect(observer.observation().workers.get(worker.id)?.hasPendingOrder).toBe(true);
  observer.recordOrderEnded(worker.id, 1);
  const before = await round();
  expect(before?.report?.orderSequence).toBe(1);
  worker.take({ kind: 'stage', model: worker.staged[0] ?? ('m' as never) }, {
    fencing: FencingNumber.parse(1), expectedSequence: 0,
  });
  const after = await round();
  expect(after?.hasPendingOrder).toBe(false);
  expect(after?.report?.orderSequence).toBe(1);
});

const MEMBERSHIP = {
  name: GroupName.parse('g'), epoch: Epoch.parse(3), rank: 0, state: 'ready' as const,
};

test('an older report does not undo an accepted order to leave', async () => {
  const worker = new GroupWorker('w', 5);
  worker.group = MEMBERSHIP;
  const { observer, round } = await observe(worker.worker(), () => worker.report(), 5_000);
  await round();
  observer.recordOrderSent(worker.id);
  observer.recordOrderEnded(worker.id, 1);
  observer.recordGroupAccepted(worker.id, null, null);
  const freed = observer.observation().workers.get(worker.id);
  expect(freed?.hasPendingOrder).toBe(false);
  expect(freed?.report?.group).toBeNull();
  expect((await round())?.report?.group).toBeNull();
});

test('a delayed registration does not undo an accepted order', async () => {
  const worker = new GroupWorker('w', 5);
  worker.group = MEMBERSHIP;
  const { observer, round } = await observe(worker.worker(), () => worker.report());
  await round();
  observer.recordGroupAccepted(worker.id, null, null);
  const registered = { ...worker.worker(), group: { ...MEMBERSHIP, state: 'open' as const } };
  observer.setObservedWorkers([registered]);
  expect(observer.observation().workers.get(worker.id)?.report?.group).toBeNull();
});

test('the model of the last accepted join is remembered', async () => {
  const worker = new GroupWorker('w', 5);
  const { observer, round } = await observe(worker.worker(), () => worker.report());
  await round();
  observer.recordGroupAccepted(worker.id, MEMBERSHIP, ModelName.parse('m'));
  observer.recordGroupAccepted(worker.id, null, null);
  expect(observer.observation().workers.get(worker.id)?.lastModel).toBe('m');
});

test('a head counts as opening for a while after it accepted to open', async () => {
  const worker = new GroupWorker('w', 5);
  worker.group = MEMBERSHIP;
  const { observer, round, clock } = await observe(worker.worker(), () => worker.report());
  await round();
  observer.recordOpenAccepted(worker.id);
  expect(observer.observation().workers.get(worker.id)?.isOpening).toBe(true);
  clock.advance(1_000);
  expect(observer.observation().workers.get(worker.id)?.isOpening).toBe(false);
});

test('a member with a lapsed registration counts as alive', async () => {
  const worker = new GroupWorker('w', 5);
  const { observer, round } = await observe(worker.worker(), () => worker.report());
  await round();
  const reference = (draining: boolean) => ({ ...worker.worker(), draining });
  observer.setObservedWorkers([], { lapsed: [reference(false)], gone: [] });
  expect(assessLiveness(observer.observation().workers.get(worker.id))).toBe('alive');
  observer.setObservedWorkers([], { lapsed: [], gone: [reference(true)] });
  expect(assessLiveness(observer.observation().workers.get(worker.id))).toBe('leaving');
});

test('a report of a leaving worker calls the listener', async () => {
  const worker = new GroupWorker('w', 5);
  const leaving: string[] = [];
  const { round } = await observe(worker.worker(), () => worker.report(), 0, ({ id }) => leaving.push(id));
  await round();
  worker.leaving = true;
  await round();
  expect(leaving).toEqual(['w']);
});

test('a report of another instance does not mark the worker as leaving', async () => {
  const worker = new GroupWorker('w', 5);
  worker.leaving = true;
  const leaving: string[] = [];
  const { round } = await observe(
    worker.worker(),
    () => ({ ...worker.report(), bornAt: 6 }),
    0,
    ({ id }) => leaving.push(id),
  );
  await round();
  expect(leaving).toEqual([]);
});

test('a worker that loads weights is probed less often than one that has them', () => {
  const worker = new GroupWorker('w', 5);
  worker.group = {
    name: GroupName.parse('g'), epoch: Epoch.parse(1), rank: 0, state: 'joining',
  };
  const tracker = new WorkerTracker(worker.worker(), true, 0);
  tracker.recordReport(worker.report(), 0, 0, false);
  tracker.recordProbe(100);
  tracker.isProbing = false;
  expect(tracker.overdueMilliseconds(180, 1, new Set())).toBe(0);
  tracker.recordProbe(3_000);
  tracker.isProbing = false;
  expect(tracker.overdueMilliseconds(3_080, 1, new Set())).toBeNull();
  expect(tracker.overdueMilliseconds(3_400, 1, new Set())).toBe(0);
});

test('a member is probed less often while its group delivers events', () => {
  const worker = new GroupWorker('w', 5);
  worker.group = {
    name: GroupName.parse('g'), epoch: Epoch.parse(1), rank: 0, state: 'open',
  };
  const tracker = new WorkerTracker(worker.worker(), true, 0);
  tracker.recordReport(worker.report(), 0, 0, false);
  tracker.recordProbe(0);
  tracker.isProbing = false;
  expect(tracker.overdueMilliseconds(1_000, 1, new Set())).toBe(0);
  expect(tracker.overdueMilliseconds(1_000, 1, new Set(['g/2']))).toBe(0);
  expect(tracker.overdueMilliseconds(2_900, 1, new Set(['g/1']))).toBeNull();
  expect(tracker.overdueMilliseconds(3_000, 1, new Set(['g/1']))).toBe(0);
});

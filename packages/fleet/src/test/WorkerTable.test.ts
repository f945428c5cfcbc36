import { expect, test } from 'vitest';
import {
  AvailabilityZoneId, Epoch, GroupName, ManualClock, ModelName, ServiceId, WorkerId,
} from '@dandelionlane/core';
import WorkerTable from '../lib/workers/WorkerTable.js';
import toUnregisteredWorker from '../lib/workers/toUnregisteredWorker.js';

const SERVICE = ServiceId.parse('s');
const MODEL = ModelName.parse('m');
const GROUP = {
  name: GroupName.parse('g'), epoch: Epoch.parse(1), rank: 0, state: 'open' as const,
};
const WORKER = toUnregisteredWorker({
  id: WorkerId.parse('w'),
  service: SERVICE,
  address: '127.0.0.1:1',
  zone: AvailabilityZoneId.parse('z'),
  domain: null,
  bornAt: 1,
});

test('a worker that answers the holder serves while its registration may return', () => {
  const clock = new ManualClock(50_000);
  const table = new WorkerTable(clock);
  table.recordStoreRecovery();
  table.putUnregistered(WORKER, GROUP, MODEL);
  expect(table.ofService(SERVICE)).toMatchObject([{ group: GROUP, models: [MODEL] }]);
  clock.advance(2_200);
  table.expire();
  expect(table.ofService(SERVICE)).toEqual([]);
});

test('a registration that returns stays', () => {
  const clock = new ManualClock(50_000);
  const table = new WorkerTable(clock);
  table.recordStoreRecovery();
  table.putUnregistered(WORKER, GROUP, MODEL);
  table.put({ ...WORKER, group: GROUP, models: [MODEL] });
  clock.advance(2_200);
  table.expire();
  expect(table.ofService(SERVICE)).toHaveLength(1);
});

test('a worker without a registration does not serve while the store is steady', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.putUnregistered(WORKER, GROUP, MODEL);
  expect(table.ofService(SERVICE)).toEqual([]);
});

test('a worker that has withdrawn does not return with the store', () => {
  const clock = new ManualClock(50_000);
  const table = new WorkerTable(clock);
  table.put({ ...WORKER, draining: true, group: GROUP });
  table.remove(WORKER.id);
  table.recordStoreRecovery();
  table.putUnregistered(WORKER, GROUP, MODEL);
  expect(table.ofService(SERVICE)).toEqual([]);
  expect(table.isWithdrawn(WORKER)).toBe(true);
});

test('a worker that left without notice does not return with the store', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put(WORKER);
  table.remove(WORKER.id);
  table.recordStoreRecovery();
  table.putUnregistered(WORKER, GROUP, MODEL);
  expect(table.ofService(SERVICE)).toEqual([]);
});

test('a registration that lapsed with the store away is no withdrawal', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put(WORKER);
  table.recordStoreRecovery();
  table.remove(WORKER.id);
  expect(table.isWithdrawn(WORKER)).toBe(false);
});

test('a process learns of withdrawals that it has not seen', () => {
  const clock = new ManualClock(50_000);
  const [holder, entry] = [new WorkerTable(clock), new WorkerTable(clock)];
  holder.put(WORKER);
  holder.remove(WORKER.id);
  entry.mergeWithdrawn(holder.withdrawn());
  entry.recordStoreRecovery();
  entry.putUnregistered(WORKER, GROUP, MODEL);
  expect(entry.ofService(SERVICE)).toEqual([]);
});

test('a worker that registers again after a withdrawal counts', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put(WORKER);
  table.remove(WORKER.id);
  table.put(WORKER);
  expect(table.isWithdrawn(WORKER)).toBe(false);
  expect(table.isWithdrawn({ ...WORKER, bornAt: 2 })).toBe(false);
});

test('a later life is not taken for one that withdrew', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put(WORKER);
  table.remove(WORKER.id);
  table.recordStoreRecovery();
  table.putUnregistered({ ...WORKER, bornAt: 2 }, GROUP, MODEL);
  expect(table.ofService(SERVICE)).toHaveLength(1);
});

test('a worker that told that it leaves gets no work, whatever its registration says', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put(WORKER);
  table.markLeaving(WORKER);
  expect(table.get(WORKER.id)?.worker.draining).toBe(true);
  table.put({ ...WORKER, coldMilliseconds: 1 });
  expect(table.get(WORKER.id)?.worker.draining).toBe(true);
  expect(table.announcedLeaving()).toEqual([{ id: WORKER.id, bornAt: 1 }]);
});

test('the next life of a worker that left gets work', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put(WORKER);
  table.markLeaving(WORKER);
  table.put({ ...WORKER, bornAt: 2 });
  expect(table.get(WORKER.id)?.worker.draining).toBe(false);
  table.markLeaving(WORKER);
  expect(table.get(WORKER.id)?.worker.draining).toBe(false);
  expect(table.announcedLeaving()).toEqual([]);
});

test('a worker whose departure was told before its registration came gets no work', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.markLeaving(WORKER);
  table.put(WORKER);
  expect(table.get(WORKER.id)?.worker.draining).toBe(true);
  table.remove(WORKER.id);
  table.recordStoreRecovery();
  table.putUnregistered(WORKER, GROUP, MODEL);
  expect(table.all()).toEqual([]);
});

test('departures are told once', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  const told: string[] = [];
  table.onLeaving((worker) => told.push(worker));
  table.put(WORKER);
  table.markLeaving(WORKER);
  table.markLeaving(WORKER);
  table.put({ ...WORKER, draining: true });
  expect(told).toEqual([WORKER.id]);
  expect(table.announcedLeaving()).toEqual([]);
});

test('a worker that has withdrawn does not come back with a copy of the store', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put(WORKER);
  table.remove(WORKER.id);
  expect(table.putRestored(WORKER)).toBe(false);
  expect(table.all()).toEqual([]);
  table.put(WORKER);
  expect(table.all()).toHaveLength(1);
});

test('a copy of the store takes nothing back that is known of a life', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put({ ...WORKER, group: GROUP, models: [MODEL] });
  table.putRestored(WORKER);
  expect(table.get(WORKER.id)).toMatchObject({ group: GROUP, models: [MODEL] });
  table.put({ ...WORKER, draining: true });
  table.putRestored(WORKER);
  expect(table.get(WORKER.id)?.worker.draining).toBe(true);
  table.putRestored({ ...WORKER, bornAt: 0 });
  expect(table.get(WORKER.id)?.worker.bornAt).toBe(1);
  table.putRestored({ ...WORKER, bornAt: 2 });
  expect(table.get(WORKER.id)?.worker).toMatchObject({ bornAt: 2, draining: false });
});

test('a departure that only the copy tells of counts', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put(WORKER);
  table.putRestored({ ...WORKER, draining: true });
  expect(table.get(WORKER.id)?.worker.draining).toBe(true);
});

test('a departure that the copy of the store has not seen is announced', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put({ ...WORKER, draining: true });
  expect(table.announcedLeaving()).toEqual([]);
  table.putRestored(WORKER);
  expect(table.get(WORKER.id)?.worker.draining).toBe(true);
  expect(table.announcedLeaving()).toEqual([{ id: WORKER.id, bornAt: 1 }]);
});

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

test('an unregistered worker that answers the holder is listed while its registration may return', () => {
  const clock = new ManualClock(50_000);
  const table = new WorkerTable(clock);
  table.recordStoreRecovery();
  table.putUnregistered(WORKER, GROUP, MODEL);
  expect(table.ofService(SERVICE)).toMatchObject([{ group: GROUP, models: [MODEL] }]);
  clock.advance(2_200);
  table.expire();
  expect(table.ofService(SERVICE)).toEqual([]);
});

test('a worker whose registration returns is kept', () => {
  const clock = new ManualClock(50_000);
  const table = new WorkerTable(clock);
  table.recordStoreRecovery();
  table.putUnregistered(WORKER, GROUP, MODEL);
  table.put({ ...WORKER, group: GROUP, models: [MODEL] });
  clock.advance(2_200);
  table.expire();
  expect(table.ofService(SERVICE)).toHaveLength(1);
});

test('an unregistered worker is ignored unless the store has recovered recently', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.putUnregistered(WORKER, GROUP, MODEL);
  expect(table.ofService(SERVICE)).toEqual([]);
});

test('a withdrawn worker does not return after an outage', () => {
  const clock = new ManualClock(50_000);
  const table = new WorkerTable(clock);
  table.put({ ...WORKER, draining: true, group: GROUP });
  table.remove(WORKER.id);
  table.recordStoreRecovery();
  table.putUnregistered(WORKER, GROUP, MODEL);
  expect(table.ofService(SERVICE)).toEqual([]);
  expect(table.isWithdrawn(WORKER)).toBe(true);
});

test('a worker that left without notice does not return after an outage', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put(WORKER);
  table.remove(WORKER.id);
  table.recordStoreRecovery();
  table.putUnregistered(WORKER, GROUP, MODEL);
  expect(table.ofService(SERVICE)).toEqual([]);
});

test('a registration that lapsed during an outage is not a withdrawal', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put(WORKER);
  table.recordStoreRecovery();
  table.remove(WORKER.id);
  expect(table.isWithdrawn(WORKER)).toBe(false);
});

test('withdrawals that another process has seen are merged', () => {
  const clock = new ManualClock(50_000);
  const [holder, entry] = [new WorkerTable(clock), new WorkerTable(clock)];
  holder.put(WORKER);
  holder.remove(WORKER.id);
  entry.mergeWithdrawn(holder.withdrawn());
  entry.recordStoreRecovery();
  entry.putUnregistered(WORKER, GROUP, MODEL);
  expect(entry.ofService(SERVICE)).toEqual([]);
});

test('a worker that registers again is not withdrawn', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put(WORKER);
  table.remove(WORKER.id);
  table.put(WORKER);
  expect(table.isWithdrawn(WORKER)).toBe(false);
  expect(table.isWithdrawn({ ...WORKER, bornAt: 2 })).toBe(false);
});

test('a withdrawal does not apply to a later instance', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put(WORKER);
  table.remove(WORKER.id);
  table.recordStoreRecovery();
  table.putUnregistered({ ...WORKER, bornAt: 2 }, GROUP, MODEL);
  expect(table.ofService(SERVICE)).toHaveLength(1);
});

test('a worker that announced leaving is draining, whatever its registration says', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put(WORKER);
  table.markLeaving(WORKER);
  expect(table.get(WORKER.id)?.worker.draining).toBe(true);
  table.put({ ...WORKER, coldMilliseconds: 1 });
  expect(table.get(WORKER.id)?.worker.draining).toBe(true);
  expect(table.announcedLeaving()).toEqual([{ id: WORKER.id, bornAt: 1 }]);
});

test('the next instance of a worker that left is not draining', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put(WORKER);
  table.markLeaving(WORKER);
  table.put({ ...WORKER, bornAt: 2 });
  expect(table.get(WORKER.id)?.worker.draining).toBe(false);
  table.markLeaving(WORKER);
  expect(table.get(WORKER.id)?.worker.draining).toBe(false);
  expect(table.announcedLeaving()).toEqual([]);
});

test('a worker that announced leaving before its registration is draining', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.markLeaving(WORKER);
  table.put(WORKER);
  expect(table.get(WORKER.id)?.worker.draining).toBe(true);
  table.remove(WORKER.id);
  table.recordStoreRecovery();
  table.putUnregistered(WORKER, GROUP, MODEL);
  expect(table.all()).toEqual([]);
});

test('listeners are called once for a leaving worker', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  const leaving: string[] = [];
  table.onLeaving((worker) => leaving.push(worker));
  table.put(WORKER);
  table.markLeaving(WORKER);
  table.markLeaving(WORKER);
  table.put({ ...WORKER, draining: true });
  expect(leaving).toEqual([WORKER.id]);
  expect(table.announcedLeaving()).toEqual([]);
});

test('a restored store does not bring back a withdrawn worker', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put(WORKER);
  table.remove(WORKER.id);
  expect(table.putRestored(WORKER)).toBe(false);
  expect(table.all()).toEqual([]);
  table.put(WORKER);
  expect(table.all()).toHaveLength(1);
});

test('a restored store does not overwrite the state of a known instance', () => {
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

test('a departure that only the restored store has is applied', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put(WORKER);
  table.putRestored({ ...WORKER, draining: true });
  expect(table.get(WORKER.id)?.worker.draining).toBe(true);
});

test('a departure that the restored store lacks is announced', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put({ ...WORKER, draining: true });
  expect(table.announcedLeaving()).toEqual([]);
  table.putRestored(WORKER);
  expect(table.get(WORKER.id)?.worker.draining).toBe(true);
  expect(table.announcedLeaving()).toEqual([{ id: WORKER.id, bornAt: 1 }]);
});

// Guards against a worker that gets no more requests because a row that was no row of its own named no start.
test('the departure of an instance without a start is not that of one with a start', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  table.put({ ...WORKER, bornAt: null, draining: true });
  table.put(WORKER);
  expect(table.all().map(({ worker: { draining } }) => draining)).toEqual([false]);
  table.put({ ...WORKER, draining: true });
  table.put({ ...WORKER, bornAt: null });
  expect(table.all().map(({ worker: { draining } }) => draining)).toEqual([true]);
});

test('a later process under its id, or at its address, replaces a worker', () => {
  const table = new WorkerTable(new ManualClock());
  table.put(WORKER);
  expect(table.isReplaced(WORKER)).toBe(false);
  const other = { ...WORKER, id: WorkerId.parse('other'), bornAt: 2 };
  table.put(other);
  expect([table.isReplaced(WORKER), table.isReplaced(other)]).toEqual([true, false]);
  table.put({ ...other, address: '127.0.0.1:2' });
  expect(table.isReplaced(WORKER)).toBe(false);
  table.remove(WORKER.id);
  expect(table.isReplaced(WORKER)).toBe(false);
  table.put({ ...WORKER, bornAt: 3 });
  expect([table.isReplaced(WORKER), table.isReplaced({ ...WORKER, bornAt: null })]).toEqual([true, false]);
});

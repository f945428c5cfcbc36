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
  table.storeReturned();
  table.putUnregistered(WORKER, GROUP, MODEL);
  expect(table.ofService(SERVICE)).toMatchObject([{ group: GROUP, models: [MODEL] }]);
  clock.advance(2_200);
  table.expire();
  expect(table.ofService(SERVICE)).toEqual([]);
});

test('a registration that returns stays', () => {
  const clock = new ManualClock(50_000);
  const table = new WorkerTable(clock);
  table.storeReturned();
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

import {
  Allocation, ControllerId, MemoryTableStore, RegionId, ServicePlacement, ServingError, SystemClock,
  TABLE_NAMES,
  type ReleaseRecord, type TableStore,
} from '@dandelionlane/core';
import { errAsync } from 'neverthrow';
import { MockAgent } from 'undici';
import { DEFAULT_PLACEMENT_LIMITS } from '@dandelionlane/placement';
import { LeaseKeeper } from '@dandelionlane/platform';
import { createLog, createMetrics } from '@dandelionlane/telemetry';
import { expect, test, vi } from 'vitest';
import LiveEntries from '../lib/grants/LiveEntries.js';
import RegionController from '../lib/RegionController.js';

const region = RegionId.parse('r');
const member = {
  vm: 'vm-1', address: '127.0.0.1:9', availabilityZone: 'z', fabricDomain: 'f',
};
const allocation = Allocation.parse({
  vm: 'vm-1', replica: 'proofs.1', service: 'proofs', fencing: 1,
});
const placement = ServicePlacement.parse({
  service: 'proofs',
  replicas: [{
    replica: 'proofs.1', service: 'proofs', version: '1', state: 'serving', fencing: 1, members: [member], grants: [],
  }],
});
const record = {
  sequence: 1,
  nonce: 'nonce-nonce',
  publishedAt: '2026-01-01T00:00:00.000Z',
  change: {
    kind: 'note',
    note: {
      writtenAgainst: 0,
      add: [{
        kind: 'model', service: 'proofs', team: 't', replicas: 1, version: '1', model: 'm', vmsPerReplica: 1, acceleratorsPerVM: 8,
      }],
    },
  },
} as unknown as ReleaseRecord;

async function createStore(): Promise<MemoryTableStore> {
  const store = new MemoryTableStore();
  await store.commit({
    conditions: [],
    writes: [
      { table: TABLE_NAMES.releases, key: 'head', value: { sequence: 1 } },
      { table: TABLE_NAMES.releases, key: 'change/000000000001', value: record },
      { table: TABLE_NAMES.placements, key: 'r/proofs', value: placement },
      { table: TABLE_NAMES.allocations, key: 'r/vm-1', value: allocation },
    ],
  });
  return store;
}

/** Creates a controller that holds the lease; the platform returns the given VM list, or fails if null. */
async function createController(store: TableStore, list: object | null): Promise<RegionController> {
  const clock = new SystemClock();
  const dispatcher = new MockAgent();
  dispatcher.disableNetConnect();
  if (list !== null) {
    dispatcher.get('http://platform:1').intercept({ path: '/v1/vms' }).reply(200, list).persist();
  }
  const lease = new LeaseKeeper({
    store,
    clock,
    region,
    controller: ControllerId.parse('c'),
    settings: { termMilliseconds: 60_000, safetyMarginMilliseconds: 1_000 },
  });
  await lease.step();
  return new RegionController({
    region,
    limits: DEFAULT_PLACEMENT_LIMITS,
    platformAddress: 'platform:1',
    store,
    dispatcher,
    clock,
    lease,
    liveEntries: new LiveEntries(dispatcher, 'entry:1', '/nonexistent'),
    log: createLog('placement', { level: 'silent', format: 'text' }, clock),
    metrics: createMetrics({}, []),
  });
}

async function readReplicaStates(store: TableStore): Promise<readonly string[]> {
  const rows = await store.read([{ table: TABLE_NAMES.placements, key: 'r/proofs' }]);
  return ServicePlacement.parse(rows._unsafeUnwrap()[0]?.value).replicas.map(({ state }) => state);
}

const listed = {
  vms: [{
    vm: 'vm-1', availabilityZone: 'z', fabricDomain: 'f', accelerators: 8, address: '127.0.0.1:9', state: 'live',
  }],
};

test('drains nothing before the release was read', async () => {
  const store = await createStore();
  const controller = await createController(store, listed);
  const read = store.read.bind(store);
  vi.spyOn(store, 'read').mockImplementation((keys) => (
    keys.some(({ table }) => table === TABLE_NAMES.releases)
      ? errAsync(new ServingError('down', { kind: 'store-unavailable' }))
      : read(keys)
  ));
  await controller.step();
  await controller.step();
  expect(await readReplicaStates(store)).toEqual(['serving']);
});

test('drains nothing before a list of VMs was read', async () => {
  const store = await createStore();
  const controller = await createController(store, null);
  await controller.step();
  await controller.step();
  expect(await readReplicaStates(store)).toEqual(['serving']);
});

test('drains nothing right after an empty list of VMs', async () => {
  const store = await createStore();
  const controller = await createController(store, { vms: [] });
  await controller.step();
  await controller.step();
  expect(await readReplicaStates(store)).toEqual(['serving']);
});

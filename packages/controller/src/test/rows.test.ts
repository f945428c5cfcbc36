import {
  AvailabilityZoneId, FabricDomainId, FencingNumber, MemoryTableStore, RegionId, RowVersion, ServiceId,
  VMId, type ReplicaId, type VMRecord,
} from '@dandelionlane/core';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import applyRowChange from '../lib/region/applyRowChange.js';
import createRowChange from '../lib/region/createRowChange.js';
import createRowTransaction from '../lib/region/createRowTransaction.js';
import readRegionRows from '../lib/region/readRegionRows.js';
import type RegionRows from '../lib/region/RegionRows.js';
import ReplicaFactory from '../lib/region/ReplicaFactory.js';
import type RowCommand from '../lib/region/RowCommand.js';

const SEED = 20_261_204;
const region = RegionId.parse('r');
const service = ServiceId.parse('proofs');
const other = ServiceId.parse('other');
const names = ['a', 'b', 'c', 'd', 'e'].map((name) => VMId.parse(name));
const vms = new Map(names.map((vm): [VMId, VMRecord] => [vm, {
  vm,
  availabilityZone: AvailabilityZoneId.parse('z'),
  fabricDomain: FabricDomainId.parse('f'),
  accelerators: 8,
  address: `127.0.0.1:${vm}`,
  state: 'live',
}]));
const leaseCondition = { table: 'leases', key: 'r', version: RowVersion.parse(0) };
const empty: RegionRows = { placements: new Map(), allocations: new Map() };

function createFactory(fencing = 1): ReplicaFactory {
  return new ReplicaFactory(FencingNumber.parse(fencing));
}

function place(members: readonly VMId[], owner = service): RowCommand {
  return {
    kind: 'place', service: owner, version: '1', members, reason: 'below-wanted' as never,
  };
}

function change(rows: RegionRows, command: RowCommand, factory = createFactory()): RegionRows {
  const result = createRowChange(command, { rows, vms, factory })._unsafeUnwrap();
  return applyRowChange(rows, result, RowVersion.parse(rows.placements.size + rows.allocations.size + 1));
}

function onlyReplica(rows: RegionRows): ReplicaId {
  const replica = rows.placements.get(service)?.placement.replicas[0]?.replica;
  if (replica === undefined) {
    throw new Error('no replica');
  }
  return replica;
}

test('place allocates every member', () => {
  const rows = change(empty, place(names.slice(0, 4)));
  expect([...rows.allocations.keys()]).toEqual(names.slice(0, 4));
});

test('rebuild keeps the lost VM allocated', () => {
  const factory = createFactory();
  const before = change(empty, place(names.slice(0, 4)), factory);
  const old = onlyReplica(before);
  const rows = change(before, {
    kind: 'rebuild', replica: old, version: '1', members: [names[0], names[1], names[2], names[4]] as VMId[], reason: 'member-lost' as never,
  }, factory);
  expect(rows.allocations.get(names[3] as VMId)?.allocation.replica).toBe(old);
  expect(rows.placements.get(service)?.placement.replicas.map(({ state }) => state))
    .toEqual(['stopping', 'loading']);
});

test('remove frees only the VMs of its replica', () => {
  const factory = createFactory();
  const before = change(empty, place(names.slice(0, 4)), factory);
  const rows = change(before, { kind: 'remove', replica: onlyReplica(before), reason: 'members-stopped' }, factory);
  expect(rows.allocations.size).toBe(0);
  expect(rows.placements.get(service)?.placement.replicas).toEqual([]);
});

test('orders of a later lease have larger numbers', () => {
  const first = createFactory(1);
  const numbers = Array.from({ length: 1_000 }, () => first.nextFencing());
  expect(createFactory(2).nextFencing()).toBeGreaterThan(Math.max(...numbers));
});

test('two lease holders cannot allocate the same VM', async () => {
  const store = new MemoryTableStore();
  const outcomes = await Promise.all([1, 2].map(async (fencing) => {
    const factory = createFactory(fencing);
    const planned = createRowChange(place(names.slice(0, 4)), { rows: empty, vms, factory });
    return store.commit(createRowTransaction(region, empty, planned._unsafeUnwrap(), leaseCondition));
  }));
  expect(outcomes.map((outcome) => outcome._unsafeUnwrap().kind).sort()).toEqual(['committed', 'conflict']);
});

test('other service cannot allocate an allocated VM', async () => {
  const store = new MemoryTableStore();
  const first = createRowChange(place(names.slice(0, 4)), { rows: empty, vms, factory: createFactory(1) });
  await store.commit(createRowTransaction(region, empty, first._unsafeUnwrap(), leaseCondition));
  const command = place(names.slice(3, 5), other);
  const second = createRowChange(command, { rows: empty, vms, factory: createFactory(2) });
  const transaction = createRowTransaction(region, empty, second._unsafeUnwrap(), leaseCondition);
  const outcome = await store.commit(transaction);
  expect(outcome._unsafeUnwrap().kind).toBe('conflict');
});

test('commit with a lost response is visible in the rows', async () => {
  const store = new MemoryTableStore();
  store.setFault('lost-answer');
  const planned = createRowChange(place(names.slice(0, 4)), { rows: empty, vms, factory: createFactory() });
  await store.commit(createRowTransaction(region, empty, planned._unsafeUnwrap(), leaseCondition));
  const rows = (await readRegionRows(store, region))._unsafeUnwrap();
  expect(rows.allocations.size).toBe(4);
});

test('racing commands never put a VM in two replicas', async () => {
  const command = fc.record({
    writer: fc.constantFrom(1, 2),
    owner: fc.constantFrom(service, other),
    refresh: fc.boolean(),
    members: fc.shuffledSubarray(names, { minLength: 1, maxLength: 4 }),
    kind: fc.constantFrom('place', 'rebuild', 'remove'),
  });
  await fc.assert(fc.asyncProperty(fc.array(command, { minLength: 1, maxLength: 20 }), async (steps) => {
    const store = new MemoryTableStore();
    const factories = new Map([[1, createFactory(1)], [2, createFactory(2)]]);
    const views = new Map([[1, empty], [2, empty]]);
    for (const {
      writer, owner, refresh, members, kind,
    } of steps) {
      if (refresh) {
        views.set(writer, (await readRegionRows(store, region))._unsafeUnwrap());
      }
      const rows = views.get(writer) ?? empty;
      const existing = rows.placements.get(owner)?.placement.replicas[0];
      const free = members.filter((vm) => !rows.allocations.has(vm)
        || rows.allocations.get(vm)?.allocation.replica === existing?.replica);
      const row: RowCommand = existing === undefined || kind === 'place'
        ? place(members.filter((vm) => !rows.allocations.has(vm)), owner)
        : {
          kind, replica: existing.replica, version: '1', members: free, reason: 'members-stopped',
        } as RowCommand;
      const empties = 'members' in row && row.members.length === 0;
      const planned = createRowChange(row, { rows, vms, factory: factories.get(writer) ?? createFactory() });
      if (!empties && planned.isOk()) {
        await store.commit(createRowTransaction(region, rows, planned.value, leaseCondition));
      }
      const present = (await readRegionRows(store, region))._unsafeUnwrap();
      const placed = [...present.placements.values()]
        .flatMap(({ placement }) => placement.replicas)
        .flatMap((replica) => replica.members.map(({ vm }) => vm));
      expect(new Set(placed).size).toBe(placed.length);
    }
  }), { seed: SEED, numRuns: 200 });
});

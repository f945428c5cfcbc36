import fc from 'fast-check';
import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import {
  Epoch, FabricDomainId, FencingNumber, GroupName, ModelName,
} from '@dandelionlane/core';
import FleetObservation from '../lib/observation/FleetObservation.js';
import EpochSource from '../lib/plan/EpochSource.js';
import type GroupRecord from '../lib/plan/GroupRecord.js';
import ControlledFleet from './ControlledFleet.js';

const DOMAIN = FabricDomainId.parse('d');
const WORKERS = 26;
const ROUNDS = 60;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Registers a worker that does not answer, as a member of a formation with an epoch. */
function registerOdd(fleet: ControlledFleet, epoch: number): void {
  const worker = fleet.add('odd', DOMAIN);
  worker.alive = false;
  worker.group = {
    name: GroupName.parse('odd'), epoch: Epoch.parse(epoch), rank: 0, state: 'open',
  };
  fleet.register(worker, DOMAIN);
}

// Guards against a fleet without groups because one registration has an epoch after which there is none.
test.each([
  Number.MAX_SAFE_INTEGER, Number.MAX_SAFE_INTEGER - 1, 2 ** 52, 1e15, 1e12,
])('groups form and are repaired beside a registration with epoch %d', async (epoch) => {
  const fleet = new ControlledFleet();
  fleet.addAll(WORKERS, DOMAIN);
  registerOdd(fleet, epoch);
  fleet.start();
  await fleet.rounds(ROUNDS);
  expect(fleet.serving().length).toBeGreaterThan(1);
  const head = fleet.serving()[0];
  if (head !== undefined) {
    head.alive = false;
    fleet.workers.remove(head.id);
  }
  await fleet.rounds(ROUNDS);
  fleet.takeOver(2);
  await fleet.rounds(ROUNDS);
  fleet.stop();
  expect(fleet.serving().length).toBeGreaterThan(1);
  expect(fleet.serving().every(({ group }) => Number.isSafeInteger(group?.epoch))).toBe(true);
});

test('epochs stay exact however high those of others are', () => {
  const epochs = new EpochSource(FencingNumber.parse(3));
  const records = [4_000_007, Number.MAX_SAFE_INTEGER].map((epoch) => ({ epoch: Epoch.parse(epoch) }));
  epochs.observe(new FleetObservation(new Map(), 0), records as unknown as GroupRecord[]);
  expect(epochs.isSuperseded).toBe(true);
  expect(epochs.next()).toBe(4_000_008);
});

const oddNumber = fc.oneof(
  fc.constantFrom(Number.MAX_SAFE_INTEGER, Number.MAX_SAFE_INTEGER - 1),
  fc.maxSafeInteger(),
  fc.integer(),
  fc.nat(3),
);

const oddMembership = fc.record({
  name: fc.constantFrom('g1000001', 'g1', 'odd', 'warm-up-odd', 'constructor').map((name) => GroupName.parse(name)),
  epoch: oddNumber.filter((epoch) => epoch >= 0).map((epoch) => Epoch.parse(epoch)),
  rank: oddNumber,
  state: fc.constantFrom('joining', 'ready', 'open', 'closing', 'broken'),
});

const oddWorker = fc.record({
  alive: fc.boolean(),
  bornAt: oddNumber,
  sequence: oddNumber,
  draining: fc.boolean(),
  leaving: fc.boolean(),
  group: fc.option(oddMembership),
  model: fc.option(fc.constantFrom('small', 'large', '__proto__', 'x').map((name) => ModelName.parse(name))),
  staged: fc.array(fc.constantFrom('small', 'toString', '').map((name) => name as ModelName), { maxLength: 3 }),
});

// Guards against a fleet without groups because of what a few workers, or rows of another writer, say.
test('groups form beside workers that say odd things', async () => {
  await fc.assert(fc.asyncProperty(fc.array(oddWorker, { minLength: 1, maxLength: 3 }), async (odd) => {
    const fleet = new ControlledFleet();
    fleet.addAll(WORKERS, DOMAIN);
    const oddIds = odd.map((fields, index) => {
      const worker = Object.assign(fleet.add(`odd-${index}`, DOMAIN), fields);
      fleet.register(worker, DOMAIN);
      return worker.id;
    });
    fleet.start();
    await fleet.rounds(ROUNDS);
    fleet.stop();
    expect(fleet.serving().filter(({ id }) => !oddIds.includes(id)).length).toBeGreaterThan(1);
  }), { seed: 20_261_205, numRuns: 40 });
});

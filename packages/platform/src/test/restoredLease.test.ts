import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  ControllerId, LeaseRecord, ManualClock, MemoryTableStore, RegionId, SeededRandom, StoreEra, TABLE_NAMES,
} from '@dandelionlane/core';
import { LeaseKeeper } from '../index.js';

const REGION = RegionId.parse('r');
const SETTINGS = { termMilliseconds: 1_600, safetyMarginMilliseconds: 300, reclaimsOwn: true };
const STEP_MILLISECONDS = 450;
const PROCESSES = 3;

/** A process that contends for the lease and observes the store's era. */
class Contender {
  readonly era = new StoreEra();

  readonly lease: LeaseKeeper;

  constructor(name: string, store: MemoryTableStore, clock: ManualClock, seed: number) {
    this.lease = new LeaseKeeper({
      store: store.createClient(this.era),
      clock,
      controller: ControllerId.parse(name),
      region: REGION,
      settings: SETTINGS,
      era: () => this.era.current,
      random: new SeededRandom(seed),
    });
    this.era.onRestored(() => this.lease.handleStoreRestored(this.lease.held() !== null));
  }
}

function createTwo() {
  const store = new MemoryTableStore();
  const clock = new ManualClock(10_000);
  return {
    store, clock, one: new Contender('one', store, clock, 1), two: new Contender('two', store, clock, 2),
  };
}

/** Runs `count` rounds in which each process steps its lease once, in order. */
async function contend(count: number, clock: ManualClock, ...processes: readonly Contender[]): Promise<void> {
  for (let round = 0; round < count; round += 1) {
    clock.advance(STEP_MILLISECONDS);
    for (const { lease } of processes) {
      await lease.step();
    }
  }
}

async function readRow(store: MemoryTableStore): Promise<LeaseRecord> {
  const rows = await store.read([{ table: TABLE_NAMES.leases, key: REGION }]);
  return LeaseRecord.parse(rows._unsafeUnwrap()[0]?.value);
}

test('holder reacquires at once with an unused fencing number', async () => {
  const {
    store, clock, one, two,
  } = createTwo();
  await one.lease.step();
  const copy = store.backUp();
  await contend(3, clock, one, two);
  store.restore(copy);
  await two.lease.step();
  await one.lease.step();
  await one.lease.step();
  expect(one.lease.held()?.fencing).toBeGreaterThan(1_000);
  await contend(6, clock, two, one);
  expect(two.lease.held()).toBeNull();
});

test('former holder named by the copy does not acquire at once', async () => {
  const {
    store, clock, one, two,
  } = createTwo();
  await one.lease.step();
  const copy = store.backUp();
  await one.lease.release();
  await two.lease.step();
  expect(two.lease.held()).not.toBeNull();
  store.restore(copy);
  await one.lease.step();
  await one.lease.step();
  expect(one.lease.held()).toBeNull();
  const restarted = new Contender('one', store, clock, 9);
  await restarted.lease.step();
  expect(restarted.lease.held()).toBeNull();
  await two.lease.step();
  await two.lease.step();
  expect(two.lease.held()).not.toBeNull();
});

test('another process acquires after a term if the holder is gone', async () => {
  const {
    store, clock, one, two,
  } = createTwo();
  await one.lease.step();
  await two.lease.step();
  const copy = store.backUp();
  clock.advance(STEP_MILLISECONDS);
  await one.lease.step();
  store.restore(copy);
  for (let round = 0; round < 6; round += 1) {
    await two.lease.step();
    clock.advance(STEP_MILLISECONDS);
  }
  expect(two.lease.held()?.fencing).toBeGreaterThan(1_000);
  expect((await readRow(store)).holder).toBe('two');
});

test('lease renewed many times after the copy becomes free', async () => {
  const {
    store, clock, one, two,
  } = createTwo();
  await one.lease.step();
  const copy = store.backUp();
  await contend(30, clock, one, two);
  store.restore(copy);
  for (let round = 0; round < 8; round += 1) {
    await two.lease.step();
    clock.advance(STEP_MILLISECONDS);
  }
  await two.lease.step();
  expect(two.lease.held()).not.toBeNull();
});

test('fencing numbers stay unique across restorations, with one holder at most before the first', async () => {
  const action = fc.oneof(
    { weight: 12, arbitrary: fc.record({ kind: fc.constant('step' as const), process: fc.nat(PROCESSES - 1) }) },
    { weight: 6, arbitrary: fc.record({ kind: fc.constant('wait' as const), milliseconds: fc.nat(900) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('copy' as const) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('restore' as const) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), process: fc.nat(PROCESSES - 1) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('release' as const), process: fc.nat(PROCESSES - 1) }) },
  );
  await fc.assert(fc.asyncProperty(fc.array(action, { maxLength: 120 }), async (actions) => {
    const store = new MemoryTableStore();
    const clock = new ManualClock(10_000);
    let seed = 0;
    const create = (index: number) => {
      seed += 1;
      return new Contender(`p${index}`, store, clock, seed);
    };
    const processes = Array.from({ length: PROCESSES }, (_, index) => create(index));
    await processes[0]?.lease.step();
    let copy = store.backUp();
    let restored = false;
    const givenTo = new Map<number, Contender>();
    for (const each of actions) {
      switch (each.kind) {
        case 'step':
          await processes[each.process]?.lease.step();
          break;
        case 'wait':
          clock.advance(each.milliseconds);
          break;
        case 'copy':
          copy = store.backUp();
          break;
        case 'restore':
          store.restore(copy);
          restored = true;
          break;
        case 'restart':
          processes[each.process] = create(each.process);
          break;
        case 'release':
          await processes[each.process]?.lease.release();
          break;
        default:
          each satisfies never;
      }
      const holders = processes.filter(({ lease }) => lease.held() !== null);
      holders.forEach((holder) => {
        const fencing = Number(holder.lease.held()?.fencing);
        expect(givenTo.get(fencing) ?? holder).toBe(holder);
        givenTo.set(fencing, holder);
      });
      // A process that has not observed a restoration yet acts until its term ends, with a lower number.
      expect(restored ? 0 : holders.length).toBeLessThanOrEqual(1);
    }
  }), { seed: 20_261_204, numRuns: 300 });
});

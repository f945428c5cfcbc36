import { errAsync } from 'neverthrow';
import { expect, test } from 'vitest';
import {
  ControllerId, ManualClock, MemoryTableStore, RegionId, ServingError, type TableStore,
} from '@dandelionlane/core';
import { LeaseKeeper } from '@dandelionlane/platform';
import LEASE_SETTINGS from '../lib/LEASE_SETTINGS.js';
import Leadership from '../lib/Leadership.js';

const STEP_MILLISECONDS = 450;

/** A process that contends for the lease and whose access to the store can be cut. */
class Contender {
  readonly lease: LeaseKeeper;

  readonly leadership: Leadership;

  isStoreUnavailable = false;

  constructor(name: string, store: MemoryTableStore, clock: ManualClock) {
    const unavailable = () => errAsync(new ServingError('away', { kind: 'store-unavailable' }));
    const reached: TableStore = {
      read: (keys) => (this.isStoreUnavailable ? unavailable() : store.read(keys)),
      scan: (table, prefix) => (this.isStoreUnavailable ? unavailable() : store.scan(table, prefix)),
      commit: (transaction) => (this.isStoreUnavailable ? unavailable() : store.commit(transaction)),
    };
    this.lease = new LeaseKeeper({
      store: reached,
      clock,
      controller: ControllerId.parse(name),
      region: RegionId.parse('r'),
      settings: LEASE_SETTINGS,
    });
    this.leadership = new Leadership({
      lease: this.lease, holder: ControllerId.parse(name), clock, isEligible: () => true,
    });
  }
}

function create() {
  const store = new MemoryTableStore();
  const clock = new ManualClock(10_000);
  return { clock, one: new Contender('one', store, clock), two: new Contender('two', store, clock) };
}

test('a holder continues to act while the store is unavailable', async () => {
  const { clock, one } = create();
  await one.lease.step();
  expect(one.leadership.actingLease()?.fencing).toBe(1);
  one.isStoreUnavailable = true;
  for (let waited = 0; waited < 8_000; waited += 10) {
    if (waited % STEP_MILLISECONDS === 0) {
      await one.lease.step();
    }
    expect(one.leadership.actingLease()?.fencing, `after ${waited} ms`).toBe(1);
    clock.advance(10);
  }
});

test('a holder stops acting when it reads of another holder', async () => {
  const { clock, one, two } = create();
  await one.lease.step();
  expect(one.leadership.actingLease()?.fencing).toBe(1);
  await two.lease.step();
  one.isStoreUnavailable = true;
  clock.advance(LEASE_SETTINGS.termMilliseconds);
  await two.lease.step();
  expect(two.leadership.actingLease()?.fencing).toBe(2);
  expect(one.leadership.actingLease()?.fencing).toBe(1);
  one.isStoreUnavailable = false;
  await one.lease.step();
  expect(one.leadership.actingLease()).toBeNull();
});

test('a holder that resigned does not act', async () => {
  const { one } = create();
  await one.lease.step();
  one.leadership.resign();
  expect(one.leadership.actingLease()).toBeNull();
});

test('a holder that released its lease does not act', async () => {
  const { one } = create();
  await one.lease.step();
  expect(one.leadership.actingLease()).not.toBeNull();
  await one.lease.release();
  expect(one.leadership.actingLease()).toBeNull();
});

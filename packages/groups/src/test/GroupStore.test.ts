import { errAsync } from 'neverthrow';
import { expect, test, vi } from 'vitest';
import {
  Epoch, GroupName, MemoryTableStore, ModelName, ServiceId, ServingError, type TableTransaction,
} from '@dandelionlane/core';
import GroupStore from '../lib/control/GroupStore.js';
import type GroupRecord from '../lib/plan/GroupRecord.js';

const LOG = {
  debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};

/** Maximum entries of a transaction in the store of the platform. */
const MAXIMUM_ENTRIES = 100;

/** A store that refuses oversized transactions, as that of the platform does. */
class LimitedStore extends MemoryTableStore {
  transactions = 0;

  override commit(transaction: TableTransaction) {
    this.transactions += 1;
    return transaction.conditions.length + transaction.writes.length > MAXIMUM_ENTRIES
      ? errAsync(new ServingError('too many entries', { kind: 'platform-answer-invalid' }))
      : super.commit(transaction);
  }
}

function recordOf(index: number): GroupRecord {
  return {
    name: GroupName.parse(`g${index}`),
    service: ServiceId.parse('s'),
    model: ModelName.parse('m'),
    epoch: Epoch.parse(index + 1),
    members: [{
      id: `w${index}`, bornAt: 1, address: '127.0.0.1:1', zone: 'z', domain: null,
    }] as unknown as GroupRecord['members'],
    formerHeads: [],
  };
}

test('the groups of a large fleet are saved in transactions of limited size', async () => {
  const rows = new LimitedStore();
  const store = new GroupStore(rows, LOG);
  store.applyChanges(Array.from({ length: 130 }, (_, index) => recordOf(index)), []);
  expect((await store.save()).isOk()).toBe(true);
  expect(store.isSaved).toBe(true);
  expect(rows.transactions).toBe(3);
  const next = new GroupStore(rows, LOG);
  await next.load();
  expect(next.records).toHaveLength(130);
});

test('records that could not be saved are saved later', async () => {
  const rows = new LimitedStore();
  const store = new GroupStore(rows, LOG);
  store.applyChanges(Array.from({ length: 60 }, (_, index) => recordOf(index)), []);
  rows.setFault('unavailable');
  expect((await store.save()).isErr()).toBe(true);
  rows.setFault('none');
  expect((await store.save()).isOk()).toBe(true);
  expect(store.isSaved).toBe(true);
});

test('an invalid record is logged once for each version', async () => {
  const error = vi.spyOn(LOG, 'error');
  const rows = new LimitedStore();
  await rows.commit({ conditions: [], writes: [{ table: 'groups', key: 'g1', value: { name: 1 } }] });
  const store = new GroupStore(rows, LOG);
  await store.load();
  await store.load();
  expect(error).toHaveBeenCalledTimes(1);
});

// Guards against a holder that cannot write a group, as a row under another key names the same one.
test('a row names only the group of its key', async () => {
  const rows = new LimitedStore();
  const store = new GroupStore(rows, LOG);
  const record = recordOf(1);
  store.applyChanges([record], []);
  await store.save();
  await rows.commit({
    conditions: [],
    writes: [{ table: 'groups', key: 'zz', value: { ...record, epoch: Epoch.parse(9) } }],
  });
  const next = new GroupStore(rows, LOG);
  await next.load();
  expect(next.records).toEqual([record]);
  next.applyChanges([{ ...record, epoch: Epoch.parse(3) }], []);
  expect((await next.save()).isOk()).toBe(true);
});

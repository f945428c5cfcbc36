import { expect, test, vi } from 'vitest';
import {
  AvailabilityZoneId, ManualClock, RowVersion, ServiceId, type TableRow, WorkerId,
} from '@dandelionlane/core';
import type { Log } from '@dandelionlane/telemetry';
import type FleetRowDecoder from '../lib/feed/FleetRowDecoder.js';
import WorkerRowHandler from '../lib/feed/WorkerRowHandler.js';
import type Worker from '../lib/workers/Worker.js';
import WorkerTable from '../lib/workers/WorkerTable.js';
import toUnregisteredWorker from '../lib/workers/toUnregisteredWorker.js';

const LOG: Log = {
  debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};

function row(key: string): TableRow {
  return {
    table: 't', key, version: RowVersion.parse(1), value: {},
  };
}

function worker(key: string): Worker {
  return toUnregisteredWorker({
    id: WorkerId.parse(key),
    service: ServiceId.parse('s'),
    address: '127.0.0.1:1',
    zone: AvailabilityZoneId.parse('z'),
    domain: null,
    bornAt: 1,
  });
}

test('registrations may be missing for a while after the first read', () => {
  const clock = new ManualClock(50_000);
  const table = new WorkerTable(clock);
  const rows = { readWorkerRow: ({ key }: TableRow) => ({ kind: 'gone', id: WorkerId.parse(key) }) };
  const handler = new WorkerRowHandler(rows as unknown as FleetRowDecoder, table, LOG);
  expect(table.isRecovering).toBe(false);
  handler.handleSnapshot([]);
  expect(table.isRecovering).toBe(true);
  clock.advance(2_200);
  expect(table.isRecovering).toBe(false);
  handler.handleSnapshot([]);
  expect(table.isRecovering).toBe(false);
});

test('workers whose registrations a restored store lacks are kept', () => {
  const clock = new ManualClock(50_000);
  const table = new WorkerTable(clock);
  const rows = {
    readWorkerRow: ({ key }: TableRow) => ({ kind: 'registered', worker: worker(key) }),
  };
  const handler = new WorkerRowHandler(rows as unknown as FleetRowDecoder, table, LOG);
  handler.handleSnapshot([row('old'), row('new')]);
  clock.advance(10_000);
  handler.handleStoreRestored();
  handler.handleSnapshot([row('old')]);
  table.expire();
  expect(table.all()).toHaveLength(2);
  handler.handleChanges([row('new')]);
  clock.advance(10_000);
  table.expire();
  expect(table.all()).toHaveLength(2);
});

// Guards against an entry that stops following the registrations because of one row that cannot be read.
test('an exception in one row leaves the other workers registered', () => {
  const table = new WorkerTable(new ManualClock(50_000));
  const rows = {
    readWorkerRow: ({ key }: TableRow) => {
      if (key === 'odd') {
        throw new RangeError('Maximum call stack size exceeded');
      }
      return { kind: 'registered', worker: worker(key) };
    },
  };
  const handler = new WorkerRowHandler(rows as unknown as FleetRowDecoder, table, LOG);
  handler.handleSnapshot([row('one'), row('odd'), row('two')]);
  expect(handler.isLoaded).toBe(true);
  expect(table.all().map(({ worker: { id } }) => id)).toEqual(['one', 'two']);
  handler.handleChanges([row('odd'), row('three')]);
  expect(table.all().map(({ worker: { id } }) => id)).toEqual(['one', 'two', 'three']);
});

// Guards against a log that is flooded by one odd row, which is read again with each snapshot.
test('an invalid registration is logged once for each version', () => {
  const warn = vi.fn();
  const rows = { readWorkerRow: ({ key }: TableRow) => ({ kind: 'invalid', key, reason: 'odd' }) };
  const table = new WorkerTable(new ManualClock(50_000));
  const handler = new WorkerRowHandler(rows as unknown as FleetRowDecoder, table, { ...LOG, warn });
  const versioned = (key: string, version: number) => ({ ...row(key), version: RowVersion.parse(version) });
  handler.handleSnapshot([versioned('one', 1), versioned('two', 1)]);
  handler.handleSnapshot([versioned('one', 1), versioned('two', 1)]);
  handler.handleChanges([versioned('two', 2)]);
  handler.handleSnapshot([versioned('one', 1), versioned('two', 2)]);
  expect(warn.mock.calls.map(([, fields]) => fields as object)).toEqual([
    { worker: 'one', reason: 'odd', row: 1 }, { worker: 'two', reason: 'odd', row: 1 },
    { worker: 'two', reason: 'odd', row: 2 },
  ]);
});

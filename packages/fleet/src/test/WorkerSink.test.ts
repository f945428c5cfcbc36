import { expect, test } from 'vitest';
import { ManualClock, type TableRow, WorkerId } from '@dandelionlane/core';
import type { Log } from '@dandelionlane/telemetry';
import type FleetRows from '../lib/feed/FleetRows.js';
import WorkerSink from '../lib/feed/WorkerSink.js';
import WorkerTable from '../lib/workers/WorkerTable.js';

const LOG: Log = {
  debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};

test('registrations may be missing for a while after the first read', () => {
  const clock = new ManualClock(50_000);
  const table = new WorkerTable(clock);
  const rows = { readWorkerRow: (row: TableRow) => ({ kind: 'gone', id: WorkerId.parse(row.key) }) };
  const sink = new WorkerSink(rows as unknown as FleetRows, table, LOG);
  expect(table.isUnsteady).toBe(false);
  sink.reset([]);
  expect(table.isUnsteady).toBe(true);
  clock.advance(2_200);
  expect(table.isUnsteady).toBe(false);
  sink.reset([]);
  expect(table.isUnsteady).toBe(false);
});

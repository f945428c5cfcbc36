import { expect, test } from 'vitest';
import {
  ManualClock, RowVersion, StoreEra, WorkerId, type TableRow,
} from '@dandelionlane/core';
import {
  RowCache, WorkerRowHandler, WorkerTable, toUnregisteredWorker, type FleetRowDecoder,
} from '@dandelionlane/fleet';
import type { FleetState } from '@dandelionlane/links';
import type FleetView from '../lib/FleetView.js';
import RegistrationReplicator from '../lib/RegistrationReplicator.js';

const LOG = {
  debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};

function row(key: string, version: number, value: unknown = {}): TableRow {
  return {
    table: 'servers', key, version: RowVersion.parse(version), value,
  };
}

const ROWS = {
  readWorkerRow: ({ key, value }: TableRow) => (value === null
    ? { kind: 'gone', id: WorkerId.parse(key) }
    : {
      kind: 'registered',
      worker: toUnregisteredWorker({
        id: WorkerId.parse(key), service: 's' as never, address: 'a:1', zone: 'z' as never, domain: null, bornAt: 1,
      }),
    }),
};

/** The registrations of an entry, as replicated over the links. */
class Entry {
  readonly era = new StoreEra();

  readonly clock = new ManualClock(50_000);

  readonly workers = new WorkerTable(this.clock);

  readonly rows = new RowCache(new WorkerRowHandler(ROWS as unknown as FleetRowDecoder, this.workers, LOG));

  snapshotRequests = 0;

  readonly replicator = new RegistrationReplicator({
    era: this.era,
    view: { workers: this.workers, workerRows: this.rows } as unknown as FleetView,
    onSnapshotRequired: () => {
      this.snapshotRequests += 1;
    },
  });

  constructor(era: number) {
    this.era.observe(era);
    this.era.onRestored(() => this.rows.handleStoreRestored());
  }

  /** Creates the next message of the holder: a snapshot for a new link, or the changes. */
  createMessage(whole: boolean): FleetState {
    const state = {
      ...this.replicator.takeChanges(), withdrawn: [], whole, ...(whole ? this.replicator.snapshot() : {}),
    };
    return state as unknown as FleetState;
  }

  get workerIds(): readonly string[] {
    return this.workers.all().map(({ worker }) => worker.id);
  }
}

function createLinked() {
  const holder = new Entry(1);
  const entry = new Entry(1);
  holder.rows.handleSnapshot([row('old', 5), row('gone', 6)], RowVersion.parse(9));
  entry.replicator.apply(holder.createMessage(true));
  // Registrations may be missing for a while after the first read.
  [holder, entry].forEach(({ clock }) => clock.advance(5_000));
  holder.rows.handleChanges([row('gone', 10, null)]);
  entry.replicator.apply(holder.createMessage(false));
  return { holder, entry };
}

test('an entry learns of a restoration of the store by the link and replaces all rows', () => {
  const { holder, entry } = createLinked();
  expect(entry.workerIds).toEqual(['old']);
  const previousRequests = holder.snapshotRequests;
  holder.era.observe(2);
  holder.rows.handleSnapshot([row('old', 3), row('gone', 4)], RowVersion.parse(4));
  entry.replicator.apply(holder.createMessage(true));
  expect(holder.snapshotRequests).toBe(previousRequests + 1);
  expect(entry.era.current).toBe(2);
  expect(entry.workerIds).toEqual(['old']);
  holder.rows.handleChanges([row('new', 5)]);
  entry.replicator.apply(holder.createMessage(false));
  expect(entry.workerIds).toEqual(['old', 'new']);
});

test('the holder sends the previous era until it has read the restored store', () => {
  const { holder } = createLinked();
  holder.era.observe(2);
  expect(holder.createMessage(false).era).toBe(1);
  holder.rows.handleSnapshot([row('old', 3)], RowVersion.parse(4));
  expect(holder.createMessage(false).era).toBe(2);
});

test('rows of a holder that has not noticed a restoration are ignored', () => {
  const { holder, entry } = createLinked();
  entry.era.observe(2);
  holder.rows.handleChanges([row('late', 11)]);
  entry.replicator.apply(holder.createMessage(false));
  entry.replicator.apply(holder.createMessage(true));
  expect(entry.workerIds).toEqual(['old']);
  expect(entry.rows.isRestoring).toBe(true);
});

test('a new entry does not receive deregistered workers that a restoration brought back', () => {
  const { holder } = createLinked();
  holder.era.observe(2);
  holder.rows.handleSnapshot([row('old', 3), row('gone', 4)], RowVersion.parse(4));
  const fresh = new Entry(2);
  fresh.replicator.apply(holder.createMessage(true));
  expect(fresh.workerIds).toEqual(['old']);
});

import { expect, test } from 'vitest';
import {
  ManualClock, RowVersion, StoreEra, WorkerId, type TableRow,
} from '@dandelionlane/core';
import {
  RowCache, WorkerRowHandler, WorkerTable, toUnregisteredWorker, type FleetRowDecoder,
} from '@dandelionlane/fleet';
import type { FleetState } from '@dandelionlane/links';
import type FleetView from '../lib/FleetView.js';
import RegistrationSharing from '../lib/RegistrationSharing.js';

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

/** An entry's registrations, as they are shared on the links. */
class Entry {
  readonly era = new StoreEra();

  readonly clock = new ManualClock(50_000);

  readonly workers = new WorkerTable(this.clock);

  readonly rows = new RowCache(new WorkerRowHandler(ROWS as unknown as FleetRowDecoder, this.workers, LOG));

  outdated = 0;

  readonly sharing = new RegistrationSharing({
    era: this.era,
    view: { workers: this.workers, workerRows: this.rows } as unknown as FleetView,
    outdated: () => {
      this.outdated += 1;
    },
  });

  constructor(era: number) {
    this.era.observe(era);
    this.era.onRestored(() => this.rows.handleStoreRestored());
  }

  /** What the holder says next on a new link, or on one that it has told all before. */
  tell(whole: boolean): FleetState {
    const state = {
      ...this.sharing.changes(), withdrawn: [], whole, ...(whole ? this.sharing.whole() : {}),
    };
    return state as unknown as FleetState;
  }

  get known(): readonly string[] {
    return this.workers.all().map(({ worker }) => worker.id);
  }
}

function createLinked() {
  const holder = new Entry(1);
  const entry = new Entry(1);
  holder.rows.handleSnapshot([row('old', 5), row('gone', 6)], RowVersion.parse(9));
  entry.sharing.take(holder.tell(true));
  // Registrations may be missing for a while after the first reading.
  [holder, entry].forEach(({ clock }) => clock.advance(5_000));
  holder.rows.handleChanges([row('gone', 10, null)]);
  entry.sharing.take(holder.tell(false));
  return { holder, entry };
}

test('an entry hears of a return of the store by the link and takes all rows anew', () => {
  const { holder, entry } = createLinked();
  expect(entry.known).toEqual(['old']);
  const told = holder.outdated;
  holder.era.observe(2);
  holder.rows.handleSnapshot([row('old', 3), row('gone', 4)], RowVersion.parse(4));
  entry.sharing.take(holder.tell(true));
  expect(holder.outdated).toBe(told + 1);
  expect(entry.era.current).toBe(2);
  expect(entry.known).toEqual(['old']);
  holder.rows.handleChanges([row('new', 5)]);
  entry.sharing.take(holder.tell(false));
  expect(entry.known).toEqual(['old', 'new']);
});

test('until the holder has read the copy it tells of the era before', () => {
  const { holder } = createLinked();
  holder.era.observe(2);
  expect(holder.tell(false).era).toBe(1);
  holder.rows.handleSnapshot([row('old', 3)], RowVersion.parse(4));
  expect(holder.tell(false).era).toBe(2);
});

test('rows of a holder that has not noticed are not taken', () => {
  const { holder, entry } = createLinked();
  entry.era.observe(2);
  holder.rows.handleChanges([row('late', 11)]);
  entry.sharing.take(holder.tell(false));
  entry.sharing.take(holder.tell(true));
  expect(entry.known).toEqual(['old']);
  expect(entry.rows.isRestoring).toBe(true);
});

test('a new entry hears of no worker that came back with the copy', () => {
  const { holder } = createLinked();
  holder.era.observe(2);
  holder.rows.handleSnapshot([row('old', 3), row('gone', 4)], RowVersion.parse(4));
  const fresh = new Entry(2);
  fresh.sharing.take(holder.tell(true));
  expect(fresh.known).toEqual(['old']);
});

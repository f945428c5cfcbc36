import { ok, ResultAsync, type Result } from 'neverthrow';
import type {
  Clock, RegionId, Replica, ServingError, TableStore,
} from '@dandelionlane/core';
import type { LeaseKeeper } from '@dandelionlane/platform';
import type { Log } from '@dandelionlane/telemetry';
import applyRowChange from './applyRowChange.js';
import createRowTransaction from './createRowTransaction.js';
import readRegionRows from './readRegionRows.js';
import type RegionRows from './RegionRows.js';
import type RowChange from './RowChange.js';

/** Period after which the rows are read again, although only the lease holder writes them. */
const REREAD_MILLISECONDS = 30_000;

const NO_ROWS: RegionRows = { placements: new Map(), allocations: new Map() };

/** Dependencies of a `RegionRowStore`. */
interface RegionRowStoreOptions {
  readonly store: TableStore;
  readonly region: RegionId;
  readonly lease: LeaseKeeper;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * Caches and writes the rows of a region during one lease term. The cache is valid since only the
 * lease holder writes the rows; after a conflict or a lost response they are read again.
 */
export default class RegionRowStore {
  readonly #options: RegionRowStoreOptions;

  #rows = NO_ROWS;

  #readAt = Number.NEGATIVE_INFINITY;

  constructor(options: RegionRowStoreOptions) {
    this.#options = options;
  }

  get rows(): RegionRows {
    return this.#rows;
  }

  replicas(): readonly Replica[] {
    return [...this.#rows.placements.values()].flatMap(({ placement }) => placement.replicas);
  }

  /** Reads the rows unless the cached ones are recent. */
  ensureRead(): ResultAsync<void, ServingError> {
    const { store, region, clock } = this.#options;
    const now = clock.monotonicMilliseconds();
    if (now - this.#readAt < REREAD_MILLISECONDS) {
      return new ResultAsync(Promise.resolve<Result<void, ServingError>>(ok(undefined)));
    }
    return readRegionRows(store, region).map((rows) => {
      this.#rows = rows;
      this.#readAt = now;
      return undefined;
    });
  }

  /** Commits a change under the lease. Returns false when the commit failed or its outcome is unknown. */
  async commit(change: RowChange): Promise<boolean> {
    const {
      lease, store, region, log,
    } = this.#options;
    const held = lease.held();
    if (held === null) {
      return false;
    }
    const transaction = createRowTransaction(region, this.#rows, change, lease.condition(held));
    const outcome = await store.commit(transaction);
    if (outcome.isOk() && outcome.value.kind === 'committed') {
      this.#rows = applyRowChange(this.#rows, change, outcome.value.version);
      return true;
    }
    this.#readAt = Number.NEGATIVE_INFINITY;
    const detail = outcome.isErr()
      ? outcome.error.kind
      : outcome.value.kind === 'conflict' && outcome.value.rows.map(({ table, key }) => `${table}:${key}`).join(' ');
    log.warn('Transaction was not committed.', { service: change.placement.service, detail });
    return false;
  }
}

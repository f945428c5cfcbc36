import { ReportedRows, type TableRow, type WorkerId } from '@dandelionlane/core';
import type { Log } from '@dandelionlane/telemetry';
import type WorkerTable from '../workers/WorkerTable.js';
import type FleetRowDecoder from './FleetRowDecoder.js';
import type RowHandler from './RowHandler.js';
import type WorkerRow from './WorkerRow.js';

/** Maximum workers listed in one log line: at start hundreds register at every entry. */
const MAXIMUM_LOGGED_WORKERS = 5;

/** Applies registrations of workers to the worker table. */
export default class WorkerRowHandler implements RowHandler {
  readonly #rows: FleetRowDecoder;

  readonly #table: WorkerTable;

  readonly #log: Log;

  readonly #reported = new ReportedRows();

  #isLoaded = false;

  /** Whether the next snapshot is from a store that was restored from an older copy. */
  #isFromCopy = false;

  constructor(rows: FleetRowDecoder, table: WorkerTable, log: Log) {
    this.#rows = rows;
    this.#table = table;
    this.#log = log;
  }

  /** Whether the table has been read at least once. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  handleSnapshot(rows: readonly TableRow[]): void {
    if (this.#isFromCopy) {
      // Registrations that the copy lacks will be written again.
      this.#table.recordStoreRecovery();
    }
    const present = this.#applyAll(rows);
    this.#isFromCopy = false;
    this.#table.all()
      .filter(({ worker }) => !present.has(worker.id))
      .forEach(({ worker }) => this.#table.remove(worker.id));
    if (!this.#isLoaded) {
      // The store may have been unavailable until now.
      this.#table.recordStoreRecovery();
      this.#isLoaded = true;
    }
  }

  handleChanges(rows: readonly TableRow[]): void {
    this.#applyAll(rows);
  }

  handleStoreRecovered(): void {
    this.#table.recordStoreRecovery();
  }

  handleStoreRestored(): void {
    this.#isFromCopy = true;
  }

  /** Applies rows and returns the workers that they register. */
  #applyAll(rows: readonly TableRow[]): ReadonlySet<WorkerId> {
    const known = new Set(this.#table.all().map(({ worker }) => worker.id));
    const present = new Set(rows.flatMap((row): WorkerId[] => this.#apply(row) ?? []));
    const registered = [...present].filter((id) => !known.has(id));
    if (this.#isLoaded && registered.length > 0) {
      this.#log.info('Workers registered.', {
        count: registered.length,
        workers: registered.slice(0, MAXIMUM_LOGGED_WORKERS).join(','),
      });
    }
    return present;
  }

  /** Decodes a row. A failure on a row of another writer must not keep the other rows from being read. */
  #decode(row: TableRow): WorkerRow {
    try {
      return this.#rows.readWorkerRow(row);
    } catch (error) {
      return { kind: 'invalid', key: row.key, reason: String(error) };
    }
  }

  /** Applies a row; returns the id of the registered worker in an array, or null if there is none. */
  #apply(row: TableRow): [WorkerId] | null {
    const decoded = this.#decode(row);
    switch (decoded.kind) {
      case 'registered':
        if (this.#isFromCopy) {
          return this.#table.putRestored(decoded.worker) ? [decoded.worker.id] : null;
        }
        this.#table.put(decoded.worker);
        return [decoded.worker.id];
      case 'gone':
        this.#log.info('Registration is gone.', { worker: decoded.id, row: row.version });
        this.#table.remove(decoded.id);
        return null;
      case 'invalid':
        if (this.#reported.add(row)) {
          this.#log.warn('Registration is invalid.', {
            worker: decoded.key, reason: decoded.reason, row: row.version,
          });
        }
        this.#table.remove(decoded.key as WorkerId);
        return null;
      default:
        return decoded satisfies never;
    }
  }
}

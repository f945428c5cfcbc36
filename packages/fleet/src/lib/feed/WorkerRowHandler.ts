import type { TableRow, WorkerId } from '@dandelionlane/core';
import type { Log } from '@dandelionlane/telemetry';
import type WorkerTable from '../workers/WorkerTable.js';
import type FleetRowDecoder from './FleetRowDecoder.js';
import type RowHandler from './RowHandler.js';

/** Workers that one line names: a start registers hundreds at every entry. */
const LOGGED_WORKERS = 5;

/** Takes the registrations of workers. */
export default class WorkerRowHandler implements RowHandler {
  readonly #rows: FleetRowDecoder;

  readonly #table: WorkerTable;

  readonly #log: Log;

  #loaded = false;

  /** Whether the next rows are those of a copy of the store. */
  #fromCopy = false;

  constructor(rows: FleetRowDecoder, table: WorkerTable, log: Log) {
    this.#rows = rows;
    this.#table = table;
    this.#log = log;
  }

  /** Whether the table has been read once. */
  get isLoaded(): boolean {
    return this.#loaded;
  }

  handleSnapshot(rows: readonly TableRow[]): void {
    if (this.#fromCopy) {
      // Registrations that the copy does not hold are written again.
      this.#table.recordStoreRecovery();
    }
    const present = this.#takeAll(rows);
    this.#fromCopy = false;
    this.#table.all()
      .filter(({ worker }) => !present.has(worker.id))
      .forEach(({ worker }) => this.#table.remove(worker.id));
    if (!this.#loaded) {
      // This process cannot know whether the store was away until now.
      this.#table.recordStoreRecovery();
      this.#loaded = true;
    }
  }

  handleChanges(rows: readonly TableRow[]): void {
    this.#takeAll(rows);
  }

  handleStoreRecovered(): void {
    this.#table.recordStoreRecovery();
  }

  handleStoreRestored(): void {
    this.#fromCopy = true;
  }

  /** Takes rows in and returns the workers that they register. */
  #takeAll(rows: readonly TableRow[]): ReadonlySet<WorkerId> {
    const known = new Set(this.#table.all().map(({ worker }) => worker.id));
    const present = new Set(rows.flatMap((row): WorkerId[] => this.#take(row) ?? []));
    const registered = [...present].filter((id) => !known.has(id));
    if (this.#loaded && registered.length > 0) {
      this.#log.info('Workers registered.', {
        count: registered.length,
        workers: registered.slice(0, LOGGED_WORKERS).join(','),
      });
    }
    return present;
  }

  /** The worker that the row registers, in a list; null when it registers none. */
  #take(row: TableRow): [WorkerId] | null {
    const decoded = this.#rows.readWorkerRow(row);
    switch (decoded.kind) {
      case 'registered':
        if (this.#fromCopy) {
          return this.#table.putRestored(decoded.worker) ? [decoded.worker.id] : null;
        }
        this.#table.put(decoded.worker);
        return [decoded.worker.id];
      case 'gone':
        this.#log.info('Registration is gone.', { worker: decoded.id, row: row.version });
        this.#table.remove(decoded.id);
        return null;
      case 'invalid':
        this.#log.warn('Registration is invalid.', { worker: decoded.id, reason: decoded.reason });
        this.#table.remove(decoded.id);
        return null;
      default:
        return decoded satisfies never;
    }
  }
}

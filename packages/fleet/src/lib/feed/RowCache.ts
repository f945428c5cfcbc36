import { RowVersion, type TableRow } from '@dandelionlane/core';
import type RowHandler from './RowHandler.js';

/** Maximum number of tombstones, which keep an older source from restoring deleted rows. */
const MAXIMUM_DROPPED = 2_000;

/**
 * Merges rows of a table from several sources before they reach a handler.
 * Invariant: the handler never receives an older version of a row after a newer one.
 */
export default class RowCache implements RowHandler {
  readonly #inner: RowHandler;

  readonly #rows = new Map<string, TableRow>();

  #changes: TableRow[] = [];

  #version = RowVersion.parse(0);

  #returned = false;

  #restoring = false;

  constructor(inner: RowHandler) {
    this.#inner = inner;
  }

  /** Newest version that was received. */
  get version(): RowVersion {
    return this.#version;
  }

  /** All rows, including tombstones of deleted ones. */
  all(): readonly TableRow[] {
    return [...this.#rows.values()];
  }

  /** Returns the rows that changed since the last call. */
  takeChanges(): readonly TableRow[] {
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }

  /** Whether the store was restored from an older copy that has not been read yet. */
  get isRestoring(): boolean {
    return this.#restoring;
  }

  handleSnapshot(rows: readonly TableRow[], version: RowVersion): void {
    if (this.#restoring) {
      this.#replace(rows, version);
      return;
    }
    const present = new Set(rows.map(({ key }) => key));
    const missing = this.all()
      .filter((row) => row.value !== null && !present.has(row.key) && row.version < version)
      .map((row): TableRow => ({ ...row, version, value: null }));
    this.#note(version);
    const newer = this.#keepNewer([...rows, ...missing]);
    const whole = this.all().filter(({ value }) => value !== null);
    this.#changes.push(...newer);
    this.#inner.handleSnapshot(whole, this.#version);
  }

  handleChanges(rows: readonly TableRow[]): void {
    if (this.#restoring) {
      return;
    }
    const newer = this.#keepNewer(rows);
    if (newer.length > 0) {
      this.#changes.push(...newer);
      this.#inner.handleChanges(newer);
    }
  }

  handleStoreRecovered(): void {
    this.#returned = true;
    this.#inner.handleStoreRecovered();
  }

  /** Ignores changes until the next snapshot, as versions of a restored store are not comparable. */
  handleStoreRestored(): void {
    this.#restoring = true;
    this.#inner.handleStoreRestored();
  }

  /** Returns whether the store has recovered from an outage since the last call. */
  takeStoreRecovered(): boolean {
    const returned = this.#returned;
    this.#returned = false;
    return returned;
  }

  /** Replaces all rows by a snapshot whose versions are not comparable with the known ones. */
  #replace(rows: readonly TableRow[], version: RowVersion): void {
    this.#restoring = false;
    this.#rows.clear();
    rows.forEach((row) => this.#rows.set(row.key, row));
    this.#version = version;
    this.#changes = [...rows];
    this.#inner.handleSnapshot(rows, version);
  }

  /** Merges the rows that are newer than the known ones and returns them. */
  #keepNewer(rows: readonly TableRow[]): readonly TableRow[] {
    const newer = rows.filter((row) => {
      const isNewer = row.version > (this.#rows.get(row.key)?.version ?? -1);
      if (isNewer) {
        this.#rows.delete(row.key);
        this.#rows.set(row.key, row);
        this.#note(row.version);
      }
      return isNewer;
    });
    this.#forgetDropped();
    return newer;
  }

  #note(version: RowVersion): void {
    this.#version = version > this.#version ? version : this.#version;
  }

  #forgetDropped(): void {
    const dropped = this.all().filter(({ value }) => value === null);
    dropped.slice(0, Math.max(0, dropped.length - MAXIMUM_DROPPED))
      .forEach(({ key }) => this.#rows.delete(key));
  }
}

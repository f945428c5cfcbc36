import { RowVersion, type TableRow } from '@dandelionlane/core';
import type RowHandler from './RowHandler.js';

/** Maximum number of tombstones, which keep an older source from restoring deleted rows. */
const MAXIMUM_TOMBSTONES = 2_000;

/**
 * Merges rows of a table from several sources before they reach a handler.
 * Invariant: the handler never receives an older version of a row after a newer one.
 */
export default class RowCache implements RowHandler {
  readonly #handler: RowHandler;

  readonly #rows = new Map<string, TableRow>();

  #changes: TableRow[] = [];

  #version = RowVersion.parse(0);

  #hasStoreRecovered = false;

  #isRestoring = false;

  constructor(handler: RowHandler) {
    this.#handler = handler;
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
    return this.#isRestoring;
  }

  handleSnapshot(rows: readonly TableRow[], version: RowVersion): void {
    if (this.#isRestoring) {
      this.#replace(rows, version);
      return;
    }
    const present = new Set(rows.map(({ key }) => key));
    const missing = this.all()
      .filter((row) => row.value !== null && !present.has(row.key) && row.version < version)
      .map((row): TableRow => ({ ...row, version, value: null }));
    this.#advanceVersion(version);
    const newer = this.#mergeNewer([...rows, ...missing]);
    const snapshot = this.all().filter(({ value }) => value !== null);
    this.#changes.push(...newer);
    this.#handler.handleSnapshot(snapshot, this.#version);
  }

  handleChanges(rows: readonly TableRow[]): void {
    if (this.#isRestoring) {
      return;
    }
    const newer = this.#mergeNewer(rows);
    if (newer.length > 0) {
      this.#changes.push(...newer);
      this.#handler.handleChanges(newer);
    }
  }

  handleStoreRecovered(): void {
    this.#hasStoreRecovered = true;
    this.#handler.handleStoreRecovered();
  }

  /** Ignores changes until the next snapshot, as versions of a restored store are not comparable. */
  handleStoreRestored(): void {
    this.#isRestoring = true;
    this.#handler.handleStoreRestored();
  }

  /** Returns whether the store has recovered from an outage since the last call. */
  takeStoreRecovered(): boolean {
    const hasStoreRecovered = this.#hasStoreRecovered;
    this.#hasStoreRecovered = false;
    return hasStoreRecovered;
  }

  /** Replaces all rows by a snapshot whose versions are not comparable with the known ones. */
  #replace(rows: readonly TableRow[], version: RowVersion): void {
    this.#isRestoring = false;
    this.#rows.clear();
    rows.forEach((row) => this.#rows.set(row.key, row));
    this.#version = version;
    this.#changes = [...rows];
    this.#handler.handleSnapshot(rows, version);
  }

  /** Merges the rows that are newer than the known ones and returns them. */
  #mergeNewer(rows: readonly TableRow[]): readonly TableRow[] {
    const newer = rows.filter((row) => {
      const isNewer = row.version > (this.#rows.get(row.key)?.version ?? -1);
      if (isNewer) {
        this.#rows.delete(row.key);
        this.#rows.set(row.key, row);
        this.#advanceVersion(row.version);
      }
      return isNewer;
    });
    this.#pruneTombstones();
    return newer;
  }

  #advanceVersion(version: RowVersion): void {
    this.#version = version > this.#version ? version : this.#version;
  }

  #pruneTombstones(): void {
    const tombstones = this.all().filter(({ value }) => value === null);
    tombstones.slice(0, Math.max(0, tombstones.length - MAXIMUM_TOMBSTONES))
      .forEach(({ key }) => this.#rows.delete(key));
  }
}

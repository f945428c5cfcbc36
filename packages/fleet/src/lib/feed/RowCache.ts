import { RowVersion, type TableRow } from '@dandelionlane/core';
import type RowSink from './RowSink.js';

/** Dropped rows that are remembered, so that an older source cannot bring them back. */
const MAXIMUM_DROPPED = 2_000;

/**
 * Keeps the rows of a table in front of a sink that is served by several sources.
 * Invariant: the sink never sees an older version of a row after a newer one.
 */
export default class RowCache implements RowSink {
  readonly #inner: RowSink;

  readonly #rows = new Map<string, TableRow>();

  #changes: TableRow[] = [];

  #version = RowVersion.parse(0);

  #returned = false;

  constructor(inner: RowSink) {
    this.#inner = inner;
  }

  /** Newest version of a row that was seen. */
  get version(): RowVersion {
    return this.#version;
  }

  /** All rows, dropped ones included. */
  all(): readonly TableRow[] {
    return [...this.#rows.values()];
  }

  /** Rows that changed since the last call. */
  takeChanges(): readonly TableRow[] {
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }

  reset(rows: readonly TableRow[], version: RowVersion): void {
    const present = new Set(rows.map(({ key }) => key));
    const missing = this.all()
      .filter((row) => row.value !== null && !present.has(row.key) && row.version < version)
      .map((row): TableRow => ({ ...row, version, value: null }));
    this.#note(version);
    const newer = this.#keepNewer([...rows, ...missing]);
    const whole = this.all().filter(({ value }) => value !== null);
    this.#changes.push(...newer);
    this.#inner.reset(whole, this.#version);
  }

  change(rows: readonly TableRow[]): void {
    const newer = this.#keepNewer(rows);
    if (newer.length > 0) {
      this.#changes.push(...newer);
      this.#inner.change(newer);
    }
  }

  storeReturned(): void {
    this.#returned = true;
    this.#inner.storeReturned();
  }

  /** Whether the store has returned from an outage since the last call. */
  takeReturned(): boolean {
    const returned = this.#returned;
    this.#returned = false;
    return returned;
  }

  /** Takes rows over that are newer than what is known. */
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

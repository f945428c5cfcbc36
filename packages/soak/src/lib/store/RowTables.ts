import type StoredRow from './StoredRow.js';

function keyOf({ table, key }: Pick<StoredRow, 'table' | 'key'>): string {
  return `${table}\u0000${key}`;
}

/** Rows of the platform's store with their history, in memory. */
export default class RowTables {
  readonly #rows = new Map<string, StoredRow>();

  #history: StoredRow[] = [];

  #version = 0;

  /** Versions up to this one are no longer in the history. */
  #forgotten = 0;

  readonly #watchers = new Set<() => void>();

  get version(): number {
    return this.#version;
  }

  /** Rows of a table from a key on, in the order of their keys. */
  read(table: string, from: string, limit: number): readonly StoredRow[] {
    return [...this.#rows.values()]
      .filter((row) => row.table === table && row.key >= from)
      .sort((one, other) => (one.key < other.key ? -1 : 1))
      .slice(0, limit);
  }

  /** Writes a value as the platform or a worker does; null deletes. */
  write(table: string, key: string, value: unknown): void {
    this.#version += 1;
    this.#put({ table, key }, value === null ? null : Buffer.from(JSON.stringify(value)).toString('base64'));
    this.#wake();
  }

  /** A transaction: the rows that do not have the expected versions, or null when it was applied. */
  commit(
    expected: readonly Pick<StoredRow, 'table' | 'key' | 'ver'>[],
    written: readonly { readonly table: string; readonly key: string; readonly value?: string | undefined }[],
    removed: readonly Pick<StoredRow, 'table' | 'key'>[],
  ): readonly StoredRow[] | null {
    if (expected.some((row) => (this.#rows.get(keyOf(row))?.ver ?? 0) !== row.ver)) {
      return expected.flatMap((row) => this.#rows.get(keyOf(row)) ?? []);
    }
    this.#version += 1;
    written.forEach((row) => this.#put(row, row.value ?? ''));
    removed.forEach((row) => this.#put(row, null));
    this.#wake();
    return null;
  }

  /** Changes of a table after a version, or null when they are no longer known. */
  changes(table: string, after: number): readonly StoredRow[] | null {
    return after < this.#forgotten
      ? null : this.#history.filter((row) => row.table === table && row.ver > after);
  }

  /** Resolves at the next write, or after a time. */
  change(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const watcher = (): void => {
        this.#watchers.delete(watcher);
        resolve();
      };
      setTimeout(watcher, milliseconds).unref();
      this.#watchers.add(watcher);
    });
  }

  forgetHistory(): void {
    this.#history = [];
    this.#forgotten = this.#version;
  }

  #put({ table, key }: Pick<StoredRow, 'table' | 'key'>, value: string | null): void {
    const place = {
      table, part: '', key, ver: this.#version,
    };
    if (value === null) {
      this.#rows.delete(keyOf(place));
      this.#history.push({ ...place, tombstone: true });
      return;
    }
    this.#rows.set(keyOf(place), { ...place, value });
    this.#history.push({ ...place, value });
  }

  #wake(): void {
    [...this.#watchers].forEach((watcher) => watcher());
  }
}

import { okAsync, ResultAsync } from 'neverthrow';
import {
  MemoryTableStore, RowVersion, type ServingError, type TableChanges, type TableFeed, type TableRow,
  type TableSnapshot, type TableTransaction, type TransactionOutcome,
} from '@dandelionlane/core';

/** Tables of the platform's store with their history. */
export default class SoakTables implements TableFeed {
  readonly #store = new MemoryTableStore();

  #version = RowVersion.parse(0);

  /** Changes since the history was last forgotten, in order. */
  #history: TableRow[] = [];

  /** Versions up to this one are no longer in the history. */
  #forgotten = RowVersion.parse(0);

  #era = 1;

  readonly #watchers = new Set<() => void>();

  /** Rises with each return from a copy. */
  get era(): number {
    return this.#era;
  }

  /** Newest version of the store. */
  get version(): RowVersion {
    return this.#version;
  }

  /**
   * Writes a row as the platform, an operator or a worker does; null deletes it. Bytes are stored as they
   * are, other values as JSON.
   */
  async write(table: string, key: string, value: unknown): Promise<void> {
    await this.commit({ conditions: [], writes: [{ table, key, value }] });
  }

  commit(transaction: TableTransaction): ResultAsync<TransactionOutcome, ServingError> {
    return this.#store.commit(transaction).map((outcome) => {
      if (outcome.kind === 'committed') {
        this.#committed(transaction, outcome.version);
      }
      return outcome;
    });
  }

  snapshot(table: string): ResultAsync<TableSnapshot, ServingError> {
    return this.#store.scan(table, '').map((rows) => ({ rows, version: this.#version }));
  }

  changes(
    table: string,
    after: RowVersion,
    waitMilliseconds: number,
  ): ResultAsync<TableChanges, ServingError> {
    return ResultAsync.fromSafePromise(this.#changed(table, after, performance.now() + waitMilliseconds))
      .andThen(() => okAsync(this.#changesSince(table, after)));
  }

  /** Returns a way back to the rows as they are now. */
  copy(): () => void {
    const rows = this.#store.backUp();
    const version = this.#version;
    return () => {
      this.#store.restore(rows);
      this.#era += 1;
      this.#version = version;
      this.forgetHistory();
    };
  }

  forgetHistory(): void {
    this.#history = [];
    this.#forgotten = this.#version;
  }

  #committed({ writes }: TableTransaction, version: RowVersion): void {
    this.#version = version;
    this.#history.push(...writes.map(({ table, key, value }) => ({
      table, key, version, value,
    })));
    [...this.#watchers].forEach((watcher) => watcher());
  }

  #changesSince(table: string, after: RowVersion): TableChanges {
    return after < this.#forgotten || after > this.#version ? { kind: 'history-lost' } : {
      kind: 'changes', rows: this.#history.filter((row) => row.table === table && row.version > after),
    };
  }

  /** Waits until there is something to tell of a table, or until a monotonic time. */
  async #changed(table: string, after: RowVersion, until: number): Promise<void> {
    const isQuiet = () => {
      const known = this.#changesSince(table, after);
      return known.kind === 'changes' && known.rows.length === 0;
    };
    while (isQuiet() && performance.now() < until) {
      await this.#nextWrite(until - performance.now());
    }
  }

  #nextWrite(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const watcher = (): void => {
        this.#watchers.delete(watcher);
        resolve();
      };
      setTimeout(watcher, milliseconds).unref();
      this.#watchers.add(watcher);
    });
  }
}

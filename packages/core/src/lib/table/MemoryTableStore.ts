import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import ServingError from '../errors/ServingError.js';
import RowVersion from '../ids/RowVersion.js';
import type StoreEra from './StoreEra.js';
import type TableRow from './TableRow.js';
import type TableRowKey from './TableRowKey.js';
import type TableStore from './TableStore.js';
import type TableTransaction from './TableTransaction.js';
import type TransactionOutcome from './TransactionOutcome.js';

/** What the next calls of a `MemoryTableStore` do, for failure tests. */
type Fault = 'none' | 'unavailable' | 'lost-answer' | 'stale-reads';

/** Rows and version of a store at one moment. */
interface Copy {
  readonly tables: Map<string, Map<string, TableRow>>;
  readonly version: number;
}

/** In-memory table store with the platform's semantics and faults to switch on. For tests. */
export default class MemoryTableStore implements TableStore {
  #tables = new Map<string, Map<string, TableRow>>();

  #staleTables = new Map<string, Map<string, TableRow>>();

  #version = 0;

  #fault: Fault = 'none';

  #era = 1;

  /**
   * The store as one process reaches it, which hears of the era with each answer.
   * @param era What that process knows of the era.
   */
  createClient(era: StoreEra): TableStore {
    const answer = <Value>(
      call: () => ResultAsync<Value, ServingError>,
    ): ResultAsync<Value, ServingError> => {
      const begun = era.current;
      const answered = call();
      era.observe(this.#era);
      return era.isUsable(begun, this.#era)
        ? answered : errAsync(new ServingError('table service was restored', { kind: 'store-outcome-unknown' }));
    };
    return {
      read: (keys) => answer(() => this.read(keys)),
      scan: (table, prefix) => answer(() => this.scan(table, prefix)),
      commit: (transaction) => answer(() => this.commit(transaction)),
    };
  }

  backUp(): Copy {
    return { tables: MemoryTableStore.#copyOf(this.#tables), version: this.#version };
  }

  /**
   * Returns from a copy: what was written since is gone, and versions are given out again. Who
   * uses the store hears of it with its next answer.
   */
  restore({ tables, version }: Copy): void {
    this.#tables = MemoryTableStore.#copyOf(tables);
    this.#version = version;
    this.#era += 1;
  }

  /**
   * Switches a fault on, or all off with `none`. `lost-answer`: a commit takes
   * effect and its answer is lost. `stale-reads`: reads see the rows as they are now,
   * whatever is written later.
   */
  setFault(fault: Fault): void {
    this.#fault = fault;
    this.#staleTables = MemoryTableStore.#copyOf(this.#tables);
  }

  read(keys: readonly TableRowKey[]): ResultAsync<readonly TableRow[], ServingError> {
    if (this.#fault === 'unavailable') {
      return errAsync(new ServingError('table service is down', { kind: 'store-unavailable' }));
    }
    return okAsync(keys.map((key) => this.#row(this.#visibleTables(), key)));
  }

  scan(table: string, prefix: string): ResultAsync<readonly TableRow[], ServingError> {
    if (this.#fault === 'unavailable') {
      return errAsync(new ServingError('table service is down', { kind: 'store-unavailable' }));
    }
    const rows = [...(this.#visibleTables().get(table)?.values() ?? [])];
    return okAsync(rows
      .filter((row) => row.key.startsWith(prefix))
      .sort((left, right) => (left.key < right.key ? -1 : 1)));
  }

  commit(transaction: TableTransaction): ResultAsync<TransactionOutcome, ServingError> {
    if (this.#fault === 'unavailable') {
      return errAsync(new ServingError('table service is down', { kind: 'store-unavailable' }));
    }
    const outcome = this.#apply(transaction);
    if (this.#fault === 'lost-answer') {
      return errAsync(new ServingError('answer was lost', { kind: 'store-outcome-unknown' }));
    }
    return okAsync(outcome);
  }

  static #copyOf(tables: Map<string, Map<string, TableRow>>): Map<string, Map<string, TableRow>> {
    return new Map([...tables].map(([table, rows]) => [table, new Map(rows)]));
  }

  #visibleTables(): Map<string, Map<string, TableRow>> {
    return this.#fault === 'stale-reads' ? this.#staleTables : this.#tables;
  }

  // eslint-disable-next-line class-methods-use-this -- reads from the tables it is given
  #row(tables: Map<string, Map<string, TableRow>>, { table, key }: TableRowKey): TableRow {
    return tables.get(table)?.get(key) ?? {
      table, key, version: RowVersion.parse(0), value: null,
    };
  }

  #apply(transaction: TableTransaction): TransactionOutcome {
    const conflicts = transaction.conditions
      .map((condition) => ({ condition, row: this.#row(this.#tables, condition) }))
      .filter(({ condition, row }) => condition.version !== row.version)
      .map(({ row }) => row);
    if (conflicts.length > 0) {
      return { kind: 'conflict', rows: conflicts };
    }
    this.#version += 1;
    const version = RowVersion.parse(this.#version);
    transaction.writes.forEach(({ table, key, value }) => {
      const rows = this.#tables.get(table) ?? new Map<string, TableRow>();
      this.#tables.set(table, rows);
      if (value === null) {
        rows.delete(key);
      } else {
        // A copy, so that a caller that changes its object later changes no row.

        rows.set(key, {
          table, key, version, value: structuredClone(value),
        });
      }
    });
    return { kind: 'committed', version };
  }
}

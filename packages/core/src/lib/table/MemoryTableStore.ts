import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import ServingError from '../errors/ServingError.js';
import RowVersion from '../ids/RowVersion.js';
import type StoreEra from './StoreEra.js';
import type TableRow from './TableRow.js';
import type TableRowKey from './TableRowKey.js';
import type TableStore from './TableStore.js';
import type TableTransaction from './TableTransaction.js';
import type TransactionOutcome from './TransactionOutcome.js';

/** Fault that a `MemoryTableStore` injects into its calls, for failure tests. */
type Fault = 'none' | 'unavailable' | 'lost-answer' | 'stale-reads';

/** Rows and version of a store at one point in time. */
interface Backup {
  readonly tables: Map<string, Map<string, TableRow>>;
  readonly version: number;
}

/** In-memory table store with the platform's semantics and fault injection, for tests. */
export default class MemoryTableStore implements TableStore {
  #tables = new Map<string, Map<string, TableRow>>();

  #staleTables = new Map<string, Map<string, TableRow>>();

  #version = 0;

  #fault: Fault = 'none';

  #era = 1;

  /**
   * Creates a client of the store for one process, which observes the era with each answer.
   * @param era The era as known to that process.
   */
  createClient(era: StoreEra): TableStore {
    const forward = <Value>(
      call: () => ResultAsync<Value, ServingError>,
    ): ResultAsync<Value, ServingError> => {
      const callEra = era.current;
      const answer = call();
      era.observe(this.#era);
      return era.isUsable(callEra, this.#era)
        ? answer : errAsync(new ServingError('table service was restored', { kind: 'store-outcome-unknown' }));
    };
    return {
      read: (keys) => forward(() => this.read(keys)),
      scan: (table, prefix) => forward(() => this.scan(table, prefix)),
      commit: (transaction) => forward(() => this.commit(transaction)),
    };
  }

  backUp(): Backup {
    return { tables: MemoryTableStore.#cloneTables(this.#tables), version: this.#version };
  }

  /**
   * Restores a backup: later writes are lost, and their versions are assigned again. Clients
   * learn of the new era with their next answer.
   */
  restore({ tables, version }: Backup): void {
    this.#tables = MemoryTableStore.#cloneTables(tables);
    this.#version = version;
    this.#era += 1;
  }

  /**
   * Injects a fault, or ends it with `none`. `lost-answer`: a commit takes effect, but its
   * answer is lost. `stale-reads`: reads return the rows as of this call and miss later
   * writes.
   */
  setFault(fault: Fault): void {
    this.#fault = fault;
    this.#staleTables = MemoryTableStore.#cloneTables(this.#tables);
  }

  read(keys: readonly TableRowKey[]): ResultAsync<readonly TableRow[], ServingError> {
    if (this.#fault === 'unavailable') {
      return errAsync(new ServingError('table service is down', { kind: 'store-unavailable' }));
    }
    return okAsync(keys.map((key) => this.#readRow(this.#visibleTables(), key)));
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

  static #cloneTables(tables: Map<string, Map<string, TableRow>>): Map<string, Map<string, TableRow>> {
    return new Map([...tables].map(([table, rows]) => [table, new Map(rows)]));
  }

  #visibleTables(): Map<string, Map<string, TableRow>> {
    return this.#fault === 'stale-reads' ? this.#staleTables : this.#tables;
  }

  // eslint-disable-next-line class-methods-use-this -- reads from the tables it is given
  #readRow(tables: Map<string, Map<string, TableRow>>, { table, key }: TableRowKey): TableRow {
    return tables.get(table)?.get(key) ?? {
      table, key, version: RowVersion.parse(0), value: null,
    };
  }

  #apply(transaction: TableTransaction): TransactionOutcome {
    const conflicts = transaction.conditions
      .map((condition) => ({ condition, row: this.#readRow(this.#tables, condition) }))
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
        // Stores a copy, as the caller may modify its object later.
        rows.set(key, {
          table, key, version, value: structuredClone(value),
        });
      }
    });
    return { kind: 'committed', version };
  }
}

import type { ResultAsync } from 'neverthrow';
import type ServingError from '../errors/ServingError.js';
import type TableRow from './TableRow.js';
import type TableRowKey from './TableRowKey.js';
import type TableTransaction from './TableTransaction.js';
import type TransactionOutcome from './TransactionOutcome.js';

/**
 * The platform's transactional table service.
 *
 * Errors: `store-unavailable` if nothing was written; `store-outcome-unknown`
 * if a transaction may have taken effect although its answer was lost.
 */
export default interface TableStore {
  /** Reads rows by key, in the order of the keys; an absent row has version 0 and value null. */
  read(keys: readonly TableRowKey[]): ResultAsync<readonly TableRow[], ServingError>;

  /** Reads all rows of a table whose key begins with `prefix`, in key order. */
  scan(table: string, prefix: string): ResultAsync<readonly TableRow[], ServingError>;

  /** Commits all writes or none. */
  commit(transaction: TableTransaction): ResultAsync<TransactionOutcome, ServingError>;
}

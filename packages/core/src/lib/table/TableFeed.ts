import type { ResultAsync } from 'neverthrow';
import type ServingError from '../errors/ServingError.js';
import type RowVersion from '../ids/RowVersion.js';
import type TableChanges from './TableChanges.js';
import type TableSnapshot from './TableSnapshot.js';

/** Change feed of the platform's table service. Errors: `store-unavailable`. */
export default interface TableFeed {
  /** Reads a whole table. */
  snapshot(table: string): ResultAsync<TableSnapshot, ServingError>;

  /** Waits up to `waitMilliseconds` for changes after a version; the list is empty if there were none. */
  changes(
    table: string,
    after: RowVersion,
    waitMilliseconds: number,
  ): ResultAsync<TableChanges, ServingError>;
}

import type RowVersion from '../ids/RowVersion.js';
import type TableRow from './TableRow.js';

/** All rows of a table as of one version of the store. */
export default interface TableSnapshot {
  readonly rows: readonly TableRow[];
  readonly version: RowVersion;
}

import type { RowVersion } from '@dandelionlane/core';

/** Position of a process in a table that it watches. */
export default interface TablePosition {
  /** Version of the newest row, including deleted ones. */
  readonly newestRow: RowVersion;
  /** Number of reads of the whole table; deletions before such a read are not included in `newestRow`. */
  readonly wholeReads: number;
}

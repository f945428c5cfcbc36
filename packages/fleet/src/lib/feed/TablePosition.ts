import type { RowVersion } from '@dandelionlane/core';

/** How far a process has read a table that it watches. */
export default interface TablePosition {
  /** Version of the newest row, deleted ones included. */
  readonly newestRow: RowVersion;
  /** How often the whole table was read: rows that were deleted before are not in `newestRow`. */
  readonly wholeReads: number;
}

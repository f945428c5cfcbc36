import type { RowVersion, TableRow } from '@dandelionlane/core';

/** Handles the rows that a `TableFollower` reads. */
export default interface RowHandler {
  /** Receives all rows of the table at a version; older rows that are not included were deleted. */
  handleSnapshot(rows: readonly TableRow[], version: RowVersion): void;
  /** Receives changed rows, in order; the value of a deleted one is null. */
  handleChanges(rows: readonly TableRow[]): void;
  /** Called when the store answers again after an outage, before its rows are handled. */
  handleStoreRecovered(): void;
  /**
   * Called when the store was restored from an older copy. The next snapshot has the rows of the copy:
   * later writes may be missing, and rows that were deleted later may be present.
   */
  handleStoreRestored(): void;
}

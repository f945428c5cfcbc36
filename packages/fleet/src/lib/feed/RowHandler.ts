import type { RowVersion, TableRow } from '@dandelionlane/core';

/** Receives what a `TableFollower` reads. */
export default interface RowHandler {
  /** All rows of the table as of a version; older rows that are not among them are gone. */
  handleSnapshot(rows: readonly TableRow[], version: RowVersion): void;
  /** Rows that changed, in order; value null for a deleted one. */
  handleChanges(rows: readonly TableRow[]): void;
  /** The store answers again after an outage. Called before the rows that it brings. */
  handleStoreRecovered(): void;
  /**
   * The store has returned from a copy. The next `reset` brings what the copy holds: rows that were
   * written since may be missing, and rows that were deleted since may be there.
   */
  handleStoreRestored(): void;
}

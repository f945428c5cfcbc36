import type { RowVersion, TableRow } from '@dandelionlane/core';

/** Receives what a `TableFollower` reads. */
export default interface RowSink {
  /** All rows of the table as of a version; older rows that are not among them are gone. */
  reset(rows: readonly TableRow[], version: RowVersion): void;
  /** Rows that changed, in order; value null for a deleted one. */
  change(rows: readonly TableRow[]): void;
  /** The store answers again after an outage. Called before the rows that it brings. */
  storeReturned(): void;
  /**
   * The store has returned from a copy. The next `reset` brings what the copy holds: rows that were
   * written since may be missing, and rows that were deleted since may be there.
   */
  restored(): void;
}

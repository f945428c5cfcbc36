import type { RowVersion } from '@dandelionlane/core';
import type EntryRecord from './EntryRecord.js';

/** An entry as a process last saw its row. */
export default interface ObservedEntry {
  readonly record: EntryRecord;
  readonly version: RowVersion;
  /** Monotonic time at which the entry was last known to live, in ms. */
  readonly lastSeenAt: number;
  /** Whether it was seen to change: a row may be all that is left of an entry that ended long ago. */
  readonly confirmed: boolean;
}

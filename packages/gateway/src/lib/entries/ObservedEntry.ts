import type { RowVersion } from '@dandelionlane/core';
import type EntryRecord from './EntryRecord.js';

/** An entry as this process last observed its row. */
export default interface ObservedEntry {
  readonly record: EntryRecord;
  readonly version: RowVersion;
  /** Monotonic time at which the entry was last known to be alive, in ms. */
  readonly lastSeenAt: number;
  /** Monotonic time at which its own row was last seen to change, in ms; null if it never was. */
  readonly heartbeatAt: number | null;
  /** Whether it is known to be alive: its row may be left over from an entry that ended long ago. */
  readonly confirmed: boolean;
}

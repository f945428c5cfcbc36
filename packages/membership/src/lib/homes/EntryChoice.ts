import type { EntryRecord } from '@dandelionlane/core';

/** An entry that a caller may use, and for how long. */
export default interface EntryChoice {
  readonly entry: EntryRecord;
  readonly keepSeconds: number;
}

import type { EntryRecord } from '@dandelionlane/core';

/** An entry that a caller may use, and how long the caller may cache it. */
export default interface EntryChoice {
  readonly entry: EntryRecord;
  readonly keepSeconds: number;
}

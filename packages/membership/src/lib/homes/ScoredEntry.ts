import type { EntryRecord } from '@dandelionlane/core';

/** An entry and its weight for one key. */
export default interface ScoredEntry {
  readonly entry: EntryRecord;
  readonly score: number;
}

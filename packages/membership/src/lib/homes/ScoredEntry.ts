import type { EntryRecord } from '@dandelionlane/core';

/** An entry with its rendezvous score for one key. */
export default interface ScoredEntry {
  readonly entry: EntryRecord;
  readonly score: number;
}

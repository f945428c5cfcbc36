import type { EntryRecord, RandomSource, ReleaseSequence } from '@dandelionlane/core';
import type ReleaseDisseminationSettings from './ReleaseDisseminationSettings.js';

/** Options of a `ReleaseDissemination`. */
export default interface ReleaseDisseminationOptions {
  readonly self: EntryRecord;
  readonly random: RandomSource;
  readonly settings: ReleaseDisseminationSettings;
  /** Sequence in force at start-up; 0 without an accepted state. */
  readonly sequenceInForce: ReleaseSequence;
}

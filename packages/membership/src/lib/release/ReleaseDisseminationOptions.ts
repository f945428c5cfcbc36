import type { EntryRecord, RandomSource, ReleaseSequence } from '@dandelionlane/core';
import type ReleaseDisseminationSettings from './ReleaseDisseminationSettings.js';

/** What a `ReleaseDissemination` is made from. */
export default interface ReleaseDisseminationOptions {
  readonly self: EntryRecord;
  readonly random: RandomSource;
  readonly settings: ReleaseDisseminationSettings;
  /** Sequence in force at the start; 0 without an accepted state. */
  readonly sequenceInForce: ReleaseSequence;
}

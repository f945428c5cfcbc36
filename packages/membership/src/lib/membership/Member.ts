import type { EntryRecord, ReleaseSequence } from '@dandelionlane/core';
import type MemberState from './MemberState.js';

/** A member of the region's group of entries. */
export default interface Member {
  readonly entry: EntryRecord;
  readonly state: MemberState;
  /** Latest release sequence that the member reported as in force. */
  readonly sequenceInForce: ReleaseSequence;
}

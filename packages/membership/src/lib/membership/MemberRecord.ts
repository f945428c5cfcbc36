import type { ReleaseSequence } from '@dandelionlane/core';
import type MemberUpdate from '../messages/MemberUpdate.js';

/** What a `MemberTable` keeps of a member. */
export default interface MemberRecord {
  readonly update: MemberUpdate;
  readonly sequenceInForce: ReleaseSequence;
  /** Monotonic time at which the liveness last changed. */
  readonly changedAtMilliseconds: number;
}

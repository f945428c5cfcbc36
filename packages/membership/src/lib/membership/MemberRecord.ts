import type { ReleaseSequence } from '@dandelionlane/core';
import type MemberUpdate from '../messages/MemberUpdate.js';

/** State of one member in a `MemberTable`. */
export default interface MemberRecord {
  readonly update: MemberUpdate;
  readonly sequenceInForce: ReleaseSequence;
  /** Monotonic time of the last change to `update`; pauses postpone it while suspect. */
  readonly changedAtMilliseconds: number;
}

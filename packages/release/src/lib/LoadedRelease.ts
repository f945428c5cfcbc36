import type { ReleaseRecord, ReleaseState } from '@dandelionlane/core';
import type ReleaseHead from './ReleaseHead.js';

/** Result of catching up with the release log. */
export default interface LoadedRelease {
  /** Never older than the state that the reader started from. */
  readonly state: ReleaseState;
  /** Head as read. The head or the records were read stale if it differs from the sequence of the state. */
  readonly head: ReleaseHead;
  /** Records applied on top of the reader's state, or of the snapshot, to reach the new state. */
  readonly records: readonly ReleaseRecord[];
  /** Whether the snapshot replaced some records after the reader's state, which were not read. */
  readonly isFromSnapshot: boolean;
}

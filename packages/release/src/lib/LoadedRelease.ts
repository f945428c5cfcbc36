import type { ReleaseRecord, ReleaseState } from '@dandelionlane/core';
import type ReleaseHead from './ReleaseHead.js';

/** What a reader that follows the log has found. */
export default interface LoadedRelease {
  /** Never older than the state that the reader knew. */
  readonly state: ReleaseState;
  /** The head as read; stale where it differs from the sequence of the state. */
  readonly head: ReleaseHead;
  /** The records between the reader's state, or the snapshot, and the new state. */
  readonly records: readonly ReleaseRecord[];
  /** Whether records after the reader's state were skipped by way of the snapshot. */
  readonly isFromSnapshot: boolean;
}

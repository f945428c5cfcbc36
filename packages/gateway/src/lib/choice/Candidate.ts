import type { EntryId } from '@dandelionlane/core';
import type { WorkerEntry } from '@dandelionlane/fleet';
import type TargetState from '../targets/TargetState.js';

/** A target that is eligible for a request. */
export default interface Candidate {
  readonly entry: WorkerEntry;
  readonly state: TargetState;
  /** Identifies the formation of its group; empty for plain targets. */
  readonly formation: string;
  /** Requests that it can run concurrently. */
  readonly slots: number;
  /** Whether all workers of its group are registered. */
  readonly isGroupComplete: boolean;
  /** Entry that stands here in place of a target, to which it passes the request on; null for a target. */
  readonly peer: EntryId | null;
}

import type { ModelName } from '@dandelionlane/core';
import type GroupMembership from './GroupMembership.js';
import type Worker from './Worker.js';

/** A worker with what this process knows of its registration. */
export default interface WorkerEntry {
  readonly worker: Worker;
  /** Its group: as registered, or as it has reported since. */
  readonly group: GroupMembership | null;
  /** Models that it has loaded: as registered, or of the reported group. */
  readonly models: readonly ModelName[];
  /** Monotonic time until which it is in cold start, in ms. */
  readonly coldUntil: number;
  /** Monotonic time at which its registration vanished while the store was unsteady, or null. */
  readonly lapsedAt: number | null;
  /** Whether it has told that it leaves, and its registration does not say so. */
  readonly hasAnnouncedLeaving: boolean;
}

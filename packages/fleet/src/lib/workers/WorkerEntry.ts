import type { ModelName } from '@dandelionlane/core';
import type GroupMembership from './GroupMembership.js';
import type Worker from './Worker.js';

/** Entry of a worker in the worker table. */
export default interface WorkerEntry {
  readonly worker: Worker;
  /** Its group, as registered or as reported later. */
  readonly group: GroupMembership | null;
  /** Models that it has loaded, as registered or of the reported group. */
  readonly models: readonly ModelName[];
  /** Monotonic time at which its cold start ends, in ms. */
  readonly coldUntil: number;
  /** Monotonic time at which its registration lapsed after an outage of the store, in ms, or null. */
  readonly lapsedAt: number | null;
  /** Whether it has announced that it is leaving but its registration does not say so. */
  readonly hasAnnouncedLeaving: boolean;
}

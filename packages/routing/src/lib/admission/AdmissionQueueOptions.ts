import type { TeamId } from '@dandelionlane/core';

/** Options of an `AdmissionQueue`. */
export default interface AdmissionQueueOptions {
  /** Requests that may be in flight at a time. */
  readonly capacity: number;
  /** Requests that may wait at a time, over all teams. */
  readonly maximumQueued: number;
  /** Initial estimate of the time from dispatch to last byte, in milliseconds. */
  readonly initialServiceMilliseconds: number;
  /** A team's weight, above 0. */
  readonly weightOf: (team: TeamId) => number;
}

import type { TeamId } from '@dandelionlane/core';

/** Settings of an `AdmissionQueue`. */
export default interface AdmissionQueueOptions {
  /** Requests that may be in flight together. */
  readonly capacity: number;
  /** Requests that may wait together. */
  readonly maximumQueued: number;
  /** Time from dispatch to last byte that is assumed before any was measured, in milliseconds. */
  readonly initialServiceMilliseconds: number;
  /** A team's weight, above 0. */
  readonly weightOf: (team: TeamId) => number;
}

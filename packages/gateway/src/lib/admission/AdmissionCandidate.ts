import type { TeamId } from '@dandelionlane/core';

/** What decides the place of a waiting request in the order of admission. */
export default interface AdmissionCandidate {
  /** From 0, the most urgent one. */
  readonly priority: number;
  /** Null for requests without a team, which share as one. */
  readonly team: TeamId | null;
  /** Monotonic time until which it is on time, in ms. */
  readonly onTimeUntil: number;
}

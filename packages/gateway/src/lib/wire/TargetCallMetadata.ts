import type { TeamId, WorkerId } from '@dandelionlane/core';

/** What the gateway itself tells a target with a request. */
export default interface TargetCallMetadata {
  readonly worker: WorkerId;
  /** Time left, in ms. */
  readonly deadlineMilliseconds: number;
  readonly team: TeamId | null;
  /** 0 is the most urgent, 9 the least. */
  readonly priority: number;
  /** Where a resumed stream goes on; null leaves what the caller said. */
  readonly lastEventId: string | null;
}

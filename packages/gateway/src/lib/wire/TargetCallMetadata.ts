import type { TeamId, WorkerId } from '@dandelionlane/core';

/** Metadata that the gateway itself adds to a request to a target. */
export default interface TargetCallMetadata {
  readonly worker: WorkerId;
  /** Time left, in ms. */
  readonly deadlineMilliseconds: number;
  readonly team: TeamId | null;
  /** 0 is the most urgent, 9 the least. */
  readonly priority: number;
  /** Id of the event after which a resumed stream continues; null leaves the header of the caller. */
  readonly lastEventId: string | null;
}

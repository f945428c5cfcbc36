import type { TeamId } from '@dandelionlane/core';

/** An admitted request that has not ended. */
export default interface AdmittedRequest {
  readonly team: TeamId;
  readonly admittedAtMilliseconds: number;
}

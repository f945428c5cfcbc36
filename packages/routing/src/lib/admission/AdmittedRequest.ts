import type { TeamId } from '@dandelionlane/core';

/** A request in flight, as admission keeps it. */
export default interface AdmittedRequest {
  readonly team: TeamId;
  readonly admittedAtMilliseconds: number;
}

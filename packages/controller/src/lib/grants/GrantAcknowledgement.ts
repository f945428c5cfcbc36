import type { EntryId, ReplicaId } from '@dandelionlane/core';

/** Confirmation that an entry has read the current placement row of a replica. */
export default interface GrantAcknowledgement {
  readonly entry: EntryId;
  readonly replica: ReplicaId;
  /** Requests that the entry has in flight on the replica. */
  readonly inFlight: number;
}

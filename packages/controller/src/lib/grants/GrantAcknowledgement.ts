import type { EntryId, ReplicaId } from '@dandelionlane/core';

/** An entry's word that it has read the present placement row. */
export default interface GrantAcknowledgement {
  readonly entry: EntryId;
  readonly replica: ReplicaId;
  /** Requests that it has in flight on the replica. */
  readonly inFlight: number;
}

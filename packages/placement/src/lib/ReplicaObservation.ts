import type { Replica } from '@dandelionlane/core';

/** A replica's placement row and the time it has spent in its state, in milliseconds. */
export default interface ReplicaObservation {
  readonly replica: Replica;
  readonly stateMilliseconds: number;
}

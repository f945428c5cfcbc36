import type { Replica } from '@dandelionlane/core';

/** A replica's placement row and how long it has been in its state. */
export default interface ReplicaObservation {
  readonly replica: Replica;
  readonly stateMilliseconds: number;
}

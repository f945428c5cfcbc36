import type { Allocation, ReleaseState } from '@dandelionlane/core';
import type ReplicaObservation from './ReplicaObservation.js';
import type VMObservation from './VMObservation.js';

/** Complete input of one plan. The order of the arrays does not affect the plan. */
export default interface PlacementInput {
  readonly monotonicMilliseconds: number;
  readonly release: ReleaseState;
  readonly vms: readonly VMObservation[];
  readonly replicas: readonly ReplicaObservation[];
  readonly allocations: readonly Allocation[];
}

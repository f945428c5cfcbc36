import type { AvailabilityZoneId, RandomSource } from '@dandelionlane/core';
import type ModelTraffic from './ModelTraffic.js';

/** State of the fleet that the choice of a target for a stream depends on. */
export default interface StreamChoiceContext {
  /** Zone of this entry. */
  readonly zone: AvailabilityZoneId;
  /** Number of live entries, including this one. */
  readonly entries: number;
  readonly random: RandomSource;
  /** Time for which the loads of the other entries have not been known, in ms; 0 while they are known. */
  readonly unsharedMilliseconds: number;
  /** Traffic of the model at this entry and at all entries. */
  readonly traffic: { readonly own: ModelTraffic; readonly all: ModelTraffic };
}

import type {
  EntryId, Grant, ReplicaId, ServiceLimits,
} from '@dandelionlane/core';
import type ReceivedReport from '../presence/ReceivedReport.js';
import type WithdrawnGrant from './WithdrawnGrant.js';

/** What a plan of a replica's grants rests on. */
export default interface GrantPlanInput {
  readonly replica: ReplicaId;
  readonly limits: Pick<ServiceLimits, 'coldConcurrency' | 'warmConcurrency' | 'requestTimeoutMilliseconds'>;
  /** The entries that are to share the replica. */
  readonly homes: readonly EntryId[];
  /** The grants in the placement row as read. */
  readonly previous: readonly Grant[];
  /** Every share taken back that has not been given out again. */
  readonly withdrawn: readonly WithdrawnGrant[];
  /** The member that takes requests, as last seen. */
  readonly target: ReceivedReport | undefined;
  readonly monotonicMilliseconds: number;
}

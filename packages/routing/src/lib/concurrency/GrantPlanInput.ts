import type {
  EntryId, Grant, ReplicaId, ServiceLimits,
} from '@dandelionlane/core';
import type ReceivedReport from '../presence/ReceivedReport.js';
import type WithdrawnGrant from './WithdrawnGrant.js';

/** Input for planning the grants of one replica. */
export default interface GrantPlanInput {
  readonly replica: ReplicaId;
  readonly limits: Pick<ServiceLimits, 'coldConcurrency' | 'warmConcurrency' | 'requestTimeoutMilliseconds'>;
  /** The entries that are to hold grants on the replica. */
  readonly homes: readonly EntryId[];
  /** The grants in the placement row that was read. */
  readonly previous: readonly Grant[];
  /** Every withdrawn share that has not been granted again. */
  readonly withdrawn: readonly WithdrawnGrant[];
  /** Latest report of the member that receives requests. */
  readonly target: ReceivedReport | undefined;
  readonly monotonicMilliseconds: number;
}

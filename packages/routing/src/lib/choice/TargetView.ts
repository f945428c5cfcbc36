import type { AvailabilityZoneId, ReplicaId } from '@dandelionlane/core';
import type ReplicaAssessment from '../presence/ReplicaAssessment.js';
import type LoadEstimate from './LoadEstimate.js';

/** A replica as one entry sees it at the time of a choice. */
export default interface TargetView {
  readonly replica: ReplicaId;
  /** Zone of the member that takes requests. */
  readonly availabilityZone: AvailabilityZoneId;
  readonly assessment: ReplicaAssessment;
  /** Requests that its limiter lets through now. */
  readonly available: number;
  readonly load: LoadEstimate;
  /** Prompt tokens that cache events say it holds of the request's prefix. A hint: late, with gaps. */
  readonly cachedPrefixTokens: number;
  /** `ejected` targets are passed over; a `probe` takes one request to find out if it has recovered. */
  readonly health: 'admitted' | 'ejected' | 'probe';
  /** Its latency over the usual one of its peers. 1 when not known. */
  readonly slowness: number;
}

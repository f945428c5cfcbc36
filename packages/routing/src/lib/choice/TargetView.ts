import type { AvailabilityZoneId, ReplicaId } from '@dandelionlane/core';
import type ReplicaAssessment from '../presence/ReplicaAssessment.js';
import type LoadEstimate from './LoadEstimate.js';

/** A replica as one entry sees it at the time of a choice. */
export default interface TargetView {
  readonly replica: ReplicaId;
  /** Zone of the member that takes requests. */
  readonly availabilityZone: AvailabilityZoneId;
  readonly assessment: ReplicaAssessment;
  /** Requests that its concurrency limiter allows now. */
  readonly available: number;
  readonly load: LoadEstimate;
  /** Cached prompt tokens of the request's prefix by cache events, which may be late or lost. */
  readonly cachedPrefixTokens: number;
  /** An `ejected` target is skipped; a `probe` gets one request that tests whether it has recovered. */
  readonly health: 'admitted' | 'ejected' | 'probe';
  /** Ratio of its latency to the median of its peers, at least 1; 1 when unknown. */
  readonly slowness: number;
}

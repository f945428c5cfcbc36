import type Candidate from './Candidate.js';
import type LatencyPrediction from './LatencyPrediction.js';

/** Outcome of a choice, with the inputs that decided it. */
type Choice = | {
  readonly kind: 'chosen';
  readonly candidate: Candidate;
  /** Requests that the target is estimated to have. */
  readonly load: number;
  /** How a stream is likely to fare there; null for plain targets. */
  readonly prediction: LatencyPrediction | null;
  readonly candidates: number;
}
  | { readonly kind: 'none'; readonly reason: 'no-target' | 'all-suspected' | 'all-full' | 'all-cold' }
  | {
    readonly kind: 'none';
    /** `queue-full`: more requests wait than can be served in the time of this one. */
    readonly reason: 'all-held-off' | 'queue-full';
    /** Time after which a target is likely to take the request, in ms. */
    readonly retryAfterMilliseconds: number;
  };

export default Choice;

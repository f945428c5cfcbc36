import type Candidate from './Candidate.js';
import type LatencyPrediction from './LatencyPrediction.js';

/** Outcome of a choice, with the inputs that decided it. */
type Choice = | {
  readonly kind: 'chosen';
  readonly candidate: Candidate;
  /** Estimated number of requests at the target. */
  readonly load: number;
  /** Predicted latency of a stream there; null for plain targets. */
  readonly prediction: LatencyPrediction | null;
  readonly candidates: number;
}
  | { readonly kind: 'none'; readonly reason: 'no-target' | 'no-path' | 'all-full' | 'all-cold' }
  | {
    readonly kind: 'none';
    readonly reason: 'all-suspected';
    /** Targets that are avoided, by why: a target may count more than once. */
    readonly avoided: Readonly<Record<'unreachable' | 'absent' | 'suspected', number>>;
  }
  | {
    readonly kind: 'none';
    /**
     * `all-limited`: this entry has used its share of what the targets take. `queue-full`: the queue is
     * too long for this request to be served in its time.
     */
    readonly reason: 'all-held-off' | 'all-limited' | 'queue-full';
    /** Time after which a target is likely to accept the request, in ms. */
    readonly retryAfterMilliseconds: number;
  };

export default Choice;

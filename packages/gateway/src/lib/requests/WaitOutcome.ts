import type AdmissionLimit from '../admission/AdmissionLimit.js';
import type Choice from '../choice/Choice.js';

/** How a wait for a target ended. */
type WaitOutcome = | { readonly kind: 'served'; readonly choice: Choice }
  /** No target was free in time, the caller disconnected, or the queue is full. */
  | { readonly kind: 'unserved'; readonly full: Exclude<AdmissionLimit, 'time'> }
  /** More requests are ahead of it than can be served in its time. */
  | { readonly kind: 'rejected'; readonly retryAfterMilliseconds: number };

export default WaitOutcome;

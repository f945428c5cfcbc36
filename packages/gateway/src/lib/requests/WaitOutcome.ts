import type Choice from '../choice/Choice.js';

/** How a wait for a target ended. */
type WaitOutcome = | { readonly kind: 'served'; readonly choice: Choice }
  /** None was free in time, the caller left, or too many wait already. */
  | { readonly kind: 'unserved' }
  /** More wait before it than can be served in its time. */
  | { readonly kind: 'hopeless'; readonly retryAfterMilliseconds: number };

export default WaitOutcome;

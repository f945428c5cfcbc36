/**
 * How one attempt at a stream ended. `complete`: with its last event. `passed`: the target answered
 * without a stream, and its answer went to the caller. `not-executed`: the target did not run it.
 * `unsent`: no byte reached the target. `broken`: it may have run, and the rest is missing;
 * `connectionLost` says whether the connection failed, or this process has abandoned the attempt.
 */
type StreamAttemptOutcome = | { readonly kind: 'complete' }
  | { readonly kind: 'passed' }
  | { readonly kind: 'not-executed'; readonly reason: string }
  | { readonly kind: 'unsent'; readonly reason: string }
  | { readonly kind: 'broken'; readonly reason: string; readonly connectionLost: boolean };

export default StreamAttemptOutcome;

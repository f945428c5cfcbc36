import type FailureAnswer from './FailureAnswer.js';

/**
 * How one attempt at a stream ended. `complete`: with its last event. `failed`: the target answered
 * without a stream. `passed-back`: another entry, to which it was passed on, has refused or failed it.
 * `not-executed`: the target did not run it. `unsent`: no byte reached the target.
 * `superseded`: another attempt went on with the stream. `broken`: it may have run, and the rest is
 * missing; `connectionLost` says whether the connection failed, or this process has abandoned the attempt.
 */
type StreamAttemptOutcome = | { readonly kind: 'complete' }
  | { readonly kind: 'failed'; readonly answer: FailureAnswer }
  | { readonly kind: 'passed-back'; readonly answer: FailureAnswer }
  | { readonly kind: 'not-executed'; readonly reason: string }
  | { readonly kind: 'unsent'; readonly reason: string }
  | { readonly kind: 'superseded' }
  | { readonly kind: 'broken'; readonly reason: string; readonly connectionLost: boolean };

export default StreamAttemptOutcome;

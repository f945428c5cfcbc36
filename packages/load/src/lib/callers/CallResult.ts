import type CallOutcome from './CallOutcome.js';

/** Outcome of a call with the times at which its tokens came, on the monotonic clock. */
export default interface CallResult {
  readonly outcome: CallOutcome;
  readonly tokenTimes: readonly number[];
}

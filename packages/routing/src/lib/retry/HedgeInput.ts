import type RetryBudget from './RetryBudget.js';

/** What a decision on a second, simultaneous attempt rests on. */
export default interface HedgeInput {
  /** Whether the call is idempotent. */
  readonly repeatable: boolean;
  /** Whether any byte of an answer has come. */
  readonly hasAnswerBegun: boolean;
  /** Attempts now in flight for the request. */
  readonly attemptsInFlight: number;
  /** Time since the attempt was sent, in milliseconds. */
  readonly elapsedMilliseconds: number;
  /** High quantile of the usual time to the first byte; null when not known. */
  readonly hedgeDelayMilliseconds: number | null;
  /** Whether another replica has room. */
  readonly hasAlternative: boolean;
  readonly budget: RetryBudget;
}

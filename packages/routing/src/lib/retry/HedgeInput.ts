import type RetryBudget from './RetryBudget.js';

/** Input for the decision on a second, concurrent attempt. */
export default interface HedgeInput {
  /** Whether the call is idempotent. */
  readonly repeatable: boolean;
  /** Whether any byte of an answer has arrived. */
  readonly hasAnswerBegun: boolean;
  /** Attempts of the request in flight. */
  readonly attemptsInFlight: number;
  /** Time since the attempt was sent, in milliseconds. */
  readonly elapsedMilliseconds: number;
  /** Time without a first byte after which to hedge, a high quantile of past times; null when unknown. */
  readonly hedgeDelayMilliseconds: number | null;
  /** Whether another replica has capacity. */
  readonly hasAlternative: boolean;
  readonly budget: RetryBudget;
}

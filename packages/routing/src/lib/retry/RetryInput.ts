import type AttemptProgress from './AttemptProgress.js';
import type FailureCause from './FailureCause.js';
import type RetryBudget from './RetryBudget.js';

/** What a decision on a failed attempt rests on. */
export default interface RetryInput {
  /** Whether the call is idempotent. */
  readonly repeatable: boolean;
  /** Whether the engine can continue a stream from given tokens. */
  readonly resumable: boolean;
  readonly progress: AttemptProgress;
  readonly cause: FailureCause;
  /** Whether any earlier attempt of this request may have run. */
  readonly mayHaveRunBefore: boolean;
  /** Attempts so far, this one included. */
  readonly attempts: number;
  /** Whether another replica can take it. */
  readonly hasAlternative: boolean;
  readonly remainingMilliseconds: number;
  readonly budget: RetryBudget;
}

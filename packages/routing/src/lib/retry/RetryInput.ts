import type AttemptProgress from './AttemptProgress.js';
import type FailureCause from './FailureCause.js';
import type RetryBudget from './RetryBudget.js';

/** Input for the decision after a failed attempt. */
export default interface RetryInput {
  /** Whether the call is idempotent. */
  readonly repeatable: boolean;
  /** Whether the engine can resume a stream after the tokens delivered. */
  readonly resumable: boolean;
  readonly progress: AttemptProgress;
  readonly cause: FailureCause;
  /** Whether any earlier attempt of this request may have run. */
  readonly mayHaveRunBefore: boolean;
  /** Attempts so far, the failed one included. */
  readonly attempts: number;
  /** Whether another replica has capacity. */
  readonly hasAlternative: boolean;
  readonly remainingMilliseconds: number;
  readonly budget: RetryBudget;
}

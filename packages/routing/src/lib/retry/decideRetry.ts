import type GiveUpReason from './GiveUpReason.js';
import giveUpError from './giveUpError.js';
import mayHaveRun from './mayHaveRun.js';
import type RetryDecision from './RetryDecision.js';
import type RetryInput from './RetryInput.js';

/** Attempts of one request, the first included. */
const MAXIMUM_ATTEMPTS = 4;

/** Minimum time left, in milliseconds; with less, another attempt could not end in time. */
const MINIMUM_REMAINING_MILLISECONDS = 20;

/** Tokens delivered to the caller before the answer broke off. */
function deliveredTokens({ progress }: RetryInput): number {
  return progress.kind === 'answering' ? progress.deliveredTokens : 0;
}

/** Finds why the request must not be attempted again, regardless of the budget; null if it may be. */
function findGiveUpReason(input: RetryInput): GiveUpReason | null {
  if (!input.repeatable && (input.mayHaveRunBefore || mayHaveRun(input.progress))) {
    return 'not-repeatable';
  }
  if (deliveredTokens(input) > 0 && !input.resumable) {
    return 'answer-begun';
  }
  if (input.attempts >= MAXIMUM_ATTEMPTS) {
    return 'attempts-exhausted';
  }
  if (input.remainingMilliseconds < MINIMUM_REMAINING_MILLISECONDS) {
    return 'deadline-reached';
  }
  return input.hasAlternative ? null : 'no-alternative';
}

/**
 * Decides what follows a failed attempt. Consumes budget only if it decides on another
 * attempt. A non-repeatable call goes to another target only if no attempt so far can have
 * run. A stream that has delivered tokens resumes after them or ends with an error.
 */
export default function decideRetry(input: RetryInput): RetryDecision {
  const giveUpReason = findGiveUpReason(input);
  if (giveUpReason !== null) {
    return { kind: 'give-up', error: giveUpError(input), reason: giveUpReason };
  }
  if (!input.budget.tryAcquire()) {
    return { kind: 'give-up', error: giveUpError(input), reason: 'budget-exhausted' };
  }
  const delivered = deliveredTokens(input);
  return delivered > 0
    ? { kind: 'resume', deliveredTokens: delivered }
    : { kind: 'retry-elsewhere' };
}

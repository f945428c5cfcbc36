import type HedgeDecision from './HedgeDecision.js';
import type HedgeInput from './HedgeInput.js';

/** Extra attempts that a hedge must leave in the budget, since retries take priority. */
const ATTEMPTS_LEFT_FOR_RETRIES = 3;

/**
 * Decides whether a late request gets a second attempt at another replica; the first
 * answer to begin wins and the other attempt is cancelled. Only for repeatable calls,
 * once per request, within the retry budget.
 */
export default function decideHedge(input: HedgeInput): HedgeDecision {
  if (!input.repeatable) {
    return { kind: 'never', reason: 'not-repeatable' };
  }
  if (input.hasAnswerBegun) {
    return { kind: 'never', reason: 'answer-begun' };
  }
  if (input.attemptsInFlight > 1) {
    return { kind: 'never', reason: 'already-hedged' };
  }
  const hedgeDelay = input.hedgeDelayMilliseconds;
  if (hedgeDelay === null || input.elapsedMilliseconds < hedgeDelay) {
    return { kind: 'wait', reason: 'not-late' };
  }
  if (!input.hasAlternative) {
    return { kind: 'wait', reason: 'no-alternative' };
  }
  if (input.budget.available <= ATTEMPTS_LEFT_FOR_RETRIES || !input.budget.tryAcquire()) {
    return { kind: 'wait', reason: 'budget-exhausted' };
  }
  return { kind: 'hedge' };
}

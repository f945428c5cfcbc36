import type CallOutcome from '../callers/CallOutcome.js';
import type OutcomeLabel from './OutcomeLabel.js';

/** The label under which the report counts an outcome. */
export default function labelOutcome(outcome: CallOutcome): OutcomeLabel {
  return outcome.kind === 'refused' ? `refused-${outcome.problem.outcome}` : outcome.kind;
}

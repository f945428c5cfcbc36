import type OutcomeLabel from './OutcomeLabel.js';

/** Number of calls by outcome. */
type OutcomeCounts = Record<OutcomeLabel, number>;

export default OutcomeCounts;

import type OutcomeCounts from './OutcomeCounts.js';

/** Counts of no calls. */
export default function noOutcomes(): OutcomeCounts {
  return {
    answered: 0,
    'refused-not-run': 0,
    'refused-unknown': 0,
    failed: 0,
    broken: 0,
    timeout: 0,
    unreachable: 0,
    wrong: 0,
  };
}

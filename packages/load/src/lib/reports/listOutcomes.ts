import type OutcomeCounts from '../recorder/OutcomeCounts.js';

/** The outcomes that occurred, in words. */
export default function listOutcomes(outcomes: OutcomeCounts): string {
  return Object.entries(outcomes)
    .filter(([, count]) => count > 0)
    .map(([label, count]) => `${label} ${count}`)
    .join(', ');
}

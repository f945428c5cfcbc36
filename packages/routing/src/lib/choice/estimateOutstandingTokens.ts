import type LoadEstimate from './LoadEstimate.js';

/** Time in which the outstanding tokens of a report count half, in milliseconds. */
const REPORT_HALF_LIFE_MILLISECONDS = 4_000;

/**
 * Estimates the tokens that a replica has yet to work off: those last reported,
 * discounted by the report's age, and this entry's own work since. It is at least
 * this entry's own work in flight, which is known without a report.
 */
export default function estimateOutstandingTokens(load: LoadEstimate): number {
  const discount = 2 ** (-load.reportAgeMilliseconds / REPORT_HALF_LIFE_MILLISECONDS);
  const reported = load.reportedTokens * discount;
  return Math.max(reported + load.localTokensSinceReport, load.localTokensInFlight);
}

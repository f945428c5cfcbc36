import type LoadEstimate from './LoadEstimate.js';

/** Half-life of the reported outstanding tokens, in milliseconds. */
const REPORT_HALF_LIFE_MILLISECONDS = 4_000;

/**
 * Estimates the outstanding tokens of a replica: those last reported, discounted by
 * the report's age, plus those that this entry has sent since. The estimate is at least
 * the tokens that this entry has in flight, which are known without a report.
 */
export default function estimateOutstandingTokens(load: LoadEstimate): number {
  const discount = 2 ** (-load.reportAgeMilliseconds / REPORT_HALF_LIFE_MILLISECONDS);
  const reported = load.reportedTokens * discount;
  return Math.max(reported + load.localTokensSinceReport, load.localTokensInFlight);
}

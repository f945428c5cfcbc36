import type CallRecord from '../recorder/CallRecord.js';
import type CheckResult from './CheckResult.js';
import toCheckResult from './toCheckResult.js';

/**
 * At least the given share of the calls was answered, and at least one call: a run
 * without answers proves nothing.
 */
export default function checkAnsweredShare(
  records: readonly CallRecord[],
  minimumShare: number,
): CheckResult {
  const answered = records.filter(({ result }) => result.outcome.kind === 'answered').length;
  const enough = answered > 0 && answered >= minimumShare * records.length;
  const violations = enough ? [] : [`${answered} of ${records.length} calls were answered`];
  return toCheckResult('calls-answered', records.length, violations);
}

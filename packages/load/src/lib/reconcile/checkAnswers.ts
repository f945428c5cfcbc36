import type CallRecord from '../recorder/CallRecord.js';
import type CheckResult from './CheckResult.js';
import toCheckResult from './toCheckResult.js';

/** Every answer that ended as if whole is the caller's own: no gap, no repeat, no other text. */
export default function checkAnswers(records: readonly CallRecord[]): CheckResult {
  const violations = records.flatMap(({ call, result }) => (result.outcome.kind === 'wrong'
    ? [`${call.requestId}: ${result.outcome.detail}`]
    : []));
  return toCheckResult('answers-own-and-whole', records.length, violations);
}

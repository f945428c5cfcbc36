import type CallRecord from '../recorder/CallRecord.js';
import type CheckResult from './CheckResult.js';
import type RunIndex from './RunIndex.js';
import toCheckResult from './toCheckResult.js';

function countRuns({ call: { requestId, content } }: CallRecord, runs: RunIndex): number {
  return content.kind === 'keyed'
    ? runs.ofKey(content.key).length
    : runs.ofRequest(requestId).filter(({ outcome }) => outcome === 'finished').length;
}

/**
 * Each answered call has exactly one run. Of a call that may be repeated only
 * finished runs count: one that failed or was cancelled may have been retried.
 */
export default function checkSuccesses(records: readonly CallRecord[], runs: RunIndex): CheckResult {
  const answered = records.filter(({ result }) => result.outcome.kind === 'answered');
  const violations = answered.flatMap((record) => {
    const count = countRuns(record, runs);
    return count === 1 ? [] : [`${record.call.requestId}: answered, with ${count} runs`];
  });
  return toCheckResult('successes-ran-once', answered.length, violations);
}

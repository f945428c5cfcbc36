import type CallRecord from '../recorder/CallRecord.js';
import type CheckResult from './CheckResult.js';
import type RunIndex from './RunIndex.js';
import toCheckResult from './toCheckResult.js';

function saysNotRun({ result: { outcome } }: CallRecord): boolean {
  return outcome.kind === 'unreachable'
    || (outcome.kind === 'refused' && outcome.problem.outcome === 'not-run');
}

/** A call that was told "not run", or that no entry took, ran nowhere. */
export default function checkNotRun(records: readonly CallRecord[], runs: RunIndex): CheckResult {
  const told = records.filter(saysNotRun);
  const violations = told.flatMap(({ call: { requestId }, result: { outcome } }) => {
    const [run] = runs.ofRequest(requestId);
    const kind = outcome.kind === 'refused' ? outcome.problem.kind : outcome.kind;
    return run === undefined ? [] : [`${requestId}: ${kind}, but ran at ${run.vm} (${run.outcome})`];
  });
  return toCheckResult('not-run-is-true', told.length, violations);
}

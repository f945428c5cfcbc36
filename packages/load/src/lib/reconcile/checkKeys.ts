import type CallRecord from '../recorder/CallRecord.js';
import type CheckResult from './CheckResult.js';
import type RunIndex from './RunIndex.js';
import toCheckResult from './toCheckResult.js';

/** Each idempotency key ran at most once, over all targets and sends. */
export default function checkKeys(records: readonly CallRecord[], runs: RunIndex): CheckResult {
  const keys = new Set(records.flatMap(({ call: { content } }) => (content.kind === 'keyed' ? [content.key] : [])));
  const violations = [...keys].flatMap((key) => {
    const found = runs.ofKey(key);
    const places = found.map(({ vm, requestId }) => `${requestId ?? 'unnamed'} at ${vm}`).join(', ');
    return found.length > 1 ? [`${key}: ${found.length} runs, ${places}`] : [];
  });
  return toCheckResult('keys-at-most-once', keys.size, violations);
}

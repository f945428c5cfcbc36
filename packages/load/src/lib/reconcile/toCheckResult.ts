import type CheckResult from './CheckResult.js';

const MAXIMUM_EXAMPLES = 10;

/** The result of a check, from its violations in words. */
export default function toCheckResult(
  name: string,
  checked: number,
  violations: readonly string[],
): CheckResult {
  return {
    name,
    passed: violations.length === 0,
    checked,
    violations: violations.length,
    examples: violations.slice(0, MAXIMUM_EXAMPLES),
  };
}

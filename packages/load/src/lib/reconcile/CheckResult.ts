/** Result of one check over a run. */
export default interface CheckResult {
  readonly name: string;
  readonly passed: boolean;
  /** Number of calls, keys or figures that were looked at. */
  readonly checked: number;
  readonly violations: number;
  /** The first violations, in words. */
  readonly examples: readonly string[];
}

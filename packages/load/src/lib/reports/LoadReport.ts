import type CheckResult from '../reconcile/CheckResult.js';
import type GroupSummary from '../recorder/GroupSummary.js';
import type TimelinePoint from '../recorder/TimelinePoint.js';

/** What a run showed. All times are in milliseconds and count from the intended start of a call. */
export default interface LoadReport {
  /** Begins every request id of the run. */
  readonly run: string;
  readonly startedAt: string;
  readonly seed: number;
  readonly ratePerSecond: number;
  readonly durationSeconds: number;
  readonly calls: number;
  readonly maximumStartLagMilliseconds: number;
  /** Most requests that ran at one time on a target in cold start; null without journals. */
  readonly maximumRunningWhileCold: number | null;
  readonly groups: readonly GroupSummary[];
  readonly timeline: readonly TimelinePoint[];
  readonly checks: readonly CheckResult[];
  readonly passed: boolean;
}

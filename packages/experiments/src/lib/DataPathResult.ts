import type DataPathPlan from './DataPathPlan.js';
import type ReaderSummary from './ReaderSummary.js';

/** Outcome of one run of the measurement of the data path. */
export default interface DataPathResult {
  readonly plan: DataPathPlan;
  readonly tokensPerSecond: number;
  readonly requestsPerSecond: number;
  readonly failures: number;
  readonly readers: readonly ReaderSummary[];
  /** Processor time of the entry as a share of one core. */
  readonly entryCores: number;
  /** Resident memory of the entry in MiB, idle and at the end of the run. */
  readonly entryIdleMebibytes: number;
  readonly entryMebibytes: number;
}

import type ControlCostPlan from './ControlCostPlan.js';
import type ProcessCost from './ProcessCost.js';

/** Outcome of one measurement without load. */
export default interface ControlCostResult {
  readonly plan: ControlCostPlan;
  readonly vms: number;
  readonly replicas: number;
  readonly entries: readonly ProcessCost[];
  readonly controllers: readonly ProcessCost[];
  /** Calls of the table service in a second. */
  readonly storeReadsPerSecond: number;
  readonly storeWritesPerSecond: number;
  /** From the publication of a note until every replica served, in seconds. */
  readonly secondsUntilServing: number;
}

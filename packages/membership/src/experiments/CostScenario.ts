import type Variant from './Variant.js';

/** What the cost of one entry is measured for. */
export default interface CostScenario {
  readonly variant: Variant;
  readonly entries: number;
  readonly regions: number;
  readonly seconds: number;
  readonly settleMilliseconds?: number;
  /** Of membership only. */
  readonly probePeriodMilliseconds?: number;
}

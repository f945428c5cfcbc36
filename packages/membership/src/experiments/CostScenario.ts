import type Variant from './Variant.js';

/** Parameters of a cost measurement. */
export default interface CostScenario {
  readonly variant: Variant;
  readonly entries: number;
  readonly regions: number;
  readonly seconds: number;
  readonly settleMilliseconds?: number;
  /** Applies to the variant `membership` only. */
  readonly probePeriodMilliseconds?: number;
}

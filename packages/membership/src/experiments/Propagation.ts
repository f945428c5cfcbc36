import type Variant from './Variant.js';

/** Time until a change is in force at every entry, in seconds. */
export default interface Propagation {
  readonly variant: Variant;
  readonly entries: number;
  readonly regions: number;
  /** `entry`: published through an entry. `store`: initially in the store only. */
  readonly publishedThrough: 'entry' | 'store';
  /** Number of regions that do not reach the store. */
  readonly regionsWithoutStore: number;
  readonly loss: number;
  readonly changes: number;
  readonly median: number;
  readonly maximum: number;
}

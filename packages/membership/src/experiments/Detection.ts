import type Variant from './Variant.js';

/** Time to detect crashes, in seconds from the crash. */
export default interface Detection {
  readonly variant: Variant;
  readonly entries: number;
  readonly crashes: number;
  readonly firstSuspicionMedian: number;
  readonly deadEverywhereMedian: number;
  readonly deadEverywhereMaximum: number;
}

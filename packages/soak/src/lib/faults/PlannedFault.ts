import type SoakFault from './SoakFault.js';

/** A fault with the time at which it begins, from the start of the requests, and its length. */
export default interface PlannedFault {
  readonly fault: SoakFault;
  readonly atMilliseconds: number;
  readonly forMilliseconds: number;
}

import type HolderExcess from './HolderExcess.js';

/**
 * State of an entry whose grant was reduced or withdrawn. `unknown`: it may send under
 * the old grant until that expires. `acknowledged`: it has read the new row and stays
 * within it; `excess` counts the requests that it had in flight beyond its new grant at
 * that time. `gone`: its process has ended. Times are on the planner's monotonic clock.
 */
type HolderState = | { readonly kind: 'unknown' }
  | {
    readonly kind: 'acknowledged';
    readonly sinceMilliseconds: number;
    readonly excess: HolderExcess;
  }
  | { readonly kind: 'gone'; readonly sinceMilliseconds: number };

export default HolderState;

import type HolderExcess from './HolderExcess.js';

/**
 * What is known of an entry whose grant was reduced or withdrawn. `unknown`: it may
 * send under the old grant until that runs out. `acknowledged`: it has read the
 * new row and sends no more than that allows; `excess` are the requests that it then
 * had in flight beyond its new grant. `gone`: its process has ended. Times are on
 * the planner's monotonic clock.
 */
type HolderState = | { readonly kind: 'unknown' }
  | {
    readonly kind: 'acknowledged';
    readonly sinceMilliseconds: number;
    readonly excess: HolderExcess;
  }
  | { readonly kind: 'gone'; readonly sinceMilliseconds: number };

export default HolderState;

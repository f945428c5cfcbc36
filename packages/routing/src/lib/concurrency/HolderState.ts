/**
 * What is known of an entry whose grant was reduced or withdrawn. `unknown`: it may
 * send under the old grant until that runs out. `acknowledged`: it has read the
 * new row and will not send beyond it; `excessInFlight` are the requests that it
 * has beyond its present grant. `gone`: its process has ended, as of the time given
 * on the planner's monotonic clock.
 */
type HolderState = | { readonly kind: 'unknown' }
  | { readonly kind: 'acknowledged'; readonly excessInFlight: number }
  | { readonly kind: 'gone'; readonly sinceMilliseconds: number };

export default HolderState;

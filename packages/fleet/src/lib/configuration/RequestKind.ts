/**
 * How requests of a route may be retried. `idempotent`: a request may run more than once.
 * `non-idempotent`: it runs at most once. `stream`: a stream of events; `resumable` streams may
 * continue on another worker after the last delivered event.
 */
type RequestKind = | { readonly kind: 'idempotent' }
  | { readonly kind: 'non-idempotent' }
  | {
    readonly kind: 'stream';
    readonly resumable: boolean;
    /** Maximum gap between two events of a stream that is on time, in ms; null for no limit. */
    readonly targetGapMilliseconds: number | null;
  };

export default RequestKind;

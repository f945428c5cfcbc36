/**
 * What may be done with a request of a route. `idempotent`: it may run more than once.
 * `non-idempotent`: it runs at most once. `stream`: a stream of events; `resumable` streams may
 * go on at another worker after the last delivered event.
 */
type RequestKind = | { readonly kind: 'idempotent' }
  | { readonly kind: 'non-idempotent' }
  | {
    readonly kind: 'stream';
    readonly resumable: boolean;
    /** Longest pause between two events for which a stream is on time, in ms; null for no such bound. */
    readonly targetGapMilliseconds: number | null;
  };

export default RequestKind;

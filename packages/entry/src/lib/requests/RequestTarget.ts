/** The interface that received a request, and the method and path to request from the target. */
type RequestTarget = | { readonly kind: 'chat'; readonly method: 'POST'; readonly path: string }
  | { readonly kind: 'plain'; readonly service: string; readonly method: string; readonly path: string };

export default RequestTarget;

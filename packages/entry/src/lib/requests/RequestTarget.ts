/** Which interface a request came in by, and what it asks of the target. */
type RequestTarget = | { readonly kind: 'chat'; readonly method: 'POST'; readonly path: string }
  | { readonly kind: 'plain'; readonly service: string; readonly method: string; readonly path: string };

export default RequestTarget;

/**
 * How the relay of one attempt ended. `completed`: its last event has come and is
 * held back. `stopped`: the replica may no longer be used. `broken`: the stream
 * ended early, or a token is missing.
 */
type StreamEnd = | { readonly kind: 'completed' }
  | { readonly kind: 'stopped' }
  | { readonly kind: 'caller-gone' }
  | { readonly kind: 'broken'; readonly cause: unknown };

export default StreamEnd;

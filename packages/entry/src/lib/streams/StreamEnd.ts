/**
 * How relaying one attempt ended. `completed`: its last event has arrived and is
 * held back. `stopped`: the replica is no longer whole. `broken`: the stream ended
 * early or failed, or a token is missing.
 */
type StreamEnd = | { readonly kind: 'completed' }
  | { readonly kind: 'stopped' }
  | { readonly kind: 'caller-gone' }
  | { readonly kind: 'broken'; readonly cause: unknown };

export default StreamEnd;

import type { Problem } from '@dandelionlane/core';

/**
 * How a call ended for its caller. `answered`: whole and the caller's own.
 * `wrong`: ended as if whole, but not what the caller must get. `refused`: a problem
 * document. `failed`: another status. `broken`: the connection ended early.
 * `unreachable`: no entry took the connection, so nothing was sent.
 */
type CallOutcome = | { readonly kind: 'answered' }
  | { readonly kind: 'wrong'; readonly detail: string }
  | { readonly kind: 'refused'; readonly problem: Problem }
  | { readonly kind: 'failed'; readonly status: number }
  | { readonly kind: 'broken'; readonly detail: string }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'unreachable'; readonly detail: string };

export default CallOutcome;

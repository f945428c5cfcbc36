/**
 * How far a failed attempt came. `not-sent`: no byte reached the target.
 * `refused`: the target refused in a way that excludes execution. `sent`: bytes
 * went out and no answer began. `answering`: the answer broke off after
 * `deliveredTokens` had gone to the caller.
 */
type AttemptProgress = | { readonly kind: 'not-sent' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'sent' }
  | { readonly kind: 'answering'; readonly deliveredTokens: number };

export default AttemptProgress;

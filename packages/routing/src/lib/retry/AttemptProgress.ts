/**
 * Progress of an attempt before it failed. `not-sent`: no byte reached the target.
 * `refused`: the target refused in a way that rules out execution. `sent`: bytes were sent
 * and no answer began. `answering`: the answer broke off after `deliveredTokens` were
 * delivered to the caller.
 */
type AttemptProgress = | { readonly kind: 'not-sent' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'sent' }
  | { readonly kind: 'answering'; readonly deliveredTokens: number };

export default AttemptProgress;

/** Whether to send a second attempt now. `wait`: decide again later. `never`: not for this request. */
type HedgeDecision = | { readonly kind: 'hedge' }
  | { readonly kind: 'wait'; readonly reason: 'not-late' | 'no-alternative' | 'budget-exhausted' }
  | { readonly kind: 'never'; readonly reason: 'not-repeatable' | 'answer-begun' | 'already-hedged' };

export default HedgeDecision;

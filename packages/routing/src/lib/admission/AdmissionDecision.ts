import type Refusal from './Refusal.js';

/** Outcome of offering a request to an `AdmissionQueue`. */
type AdmissionDecision = | { readonly kind: 'admitted' }
  | { readonly kind: 'queued'; readonly expectedWaitMilliseconds: number }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

export default AdmissionDecision;

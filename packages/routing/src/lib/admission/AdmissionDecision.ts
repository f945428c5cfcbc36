import type Refusal from './Refusal.js';

/** Answer to an offered request. */
type AdmissionDecision = | { readonly kind: 'admitted' }
  | { readonly kind: 'queued'; readonly expectedWaitMilliseconds: number }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

export default AdmissionDecision;

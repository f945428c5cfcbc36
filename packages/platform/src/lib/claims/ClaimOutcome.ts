import type ClaimHandle from './ClaimHandle.js';
import type StoredAnswer from './StoredAnswer.js';

/** Result of a claim that was not refused. Refusals are errors. */
type ClaimOutcome = | { readonly kind: 'granted'; readonly handle: ClaimHandle }
  | { readonly kind: 'completed'; readonly answer: StoredAnswer };

export default ClaimOutcome;

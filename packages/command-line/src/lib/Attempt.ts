import type HttpAnswer from './HttpAnswer.js';

/** Outcome of one request to one entry. */
type Attempt = | { readonly kind: 'answered'; readonly answer: HttpAnswer }
  /** `isSent`: a part of the request may have reached the entry. */
  | { readonly kind: 'failed'; readonly mayHaveReachedEntry: boolean; readonly message: string };

export default Attempt;

import type HttpAnswer from './HttpAnswer.js';

/** Outcome of one request to one entry. */
type Attempt = | { readonly kind: 'answered'; readonly answer: HttpAnswer }
  /** `mayHaveReachedEntry`: false only if no byte of the request was sent. */
  | { readonly kind: 'failed'; readonly mayHaveReachedEntry: boolean; readonly message: string };

export default Attempt;

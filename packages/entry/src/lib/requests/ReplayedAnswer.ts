import type AnswerHead from './AnswerHead.js';

/** An answer that was kept with its claim. */
export default interface ReplayedAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

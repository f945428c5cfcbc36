import type AnswerHead from './AnswerHead.js';

/** An answer that was kept with its claim. */
export default interface KeptAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

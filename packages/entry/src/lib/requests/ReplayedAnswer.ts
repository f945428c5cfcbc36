import type AnswerHead from './AnswerHead.js';

/** An answer that was stored with its claim and is replayed to a later call with the same key. */
export default interface ReplayedAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

import type { Readable } from 'node:stream';
import type AnswerHead from '../requests/AnswerHead.js';

/** The answer of a target. Its body has not been read. */
export default interface TargetAnswer {
  readonly head: AnswerHead;
  readonly body: Readable;
}

import type AnswerHead from '../requests/AnswerHead.js';
import mayBeRefusal from './mayBeRefusal.js';
import readProblemKind from './readProblemKind.js';

/**
 * Whether an answer is a refusal by the target, which guarantees that the request was not
 * executed: a problem document of kind `target-refused`. Any other answer, whatever its
 * status, comes from the service itself.
 */
export default function isRefusal(head: AnswerHead, body: Buffer): boolean {
  return mayBeRefusal(head) && readProblemKind(body) === 'target-refused';
}

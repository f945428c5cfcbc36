import type AnswerHead from '../requests/AnswerHead.js';
import mayBeRefusal from './mayBeRefusal.js';
import readProblemKind from './readProblemKind.js';

/**
 * Whether an answer is a refusal that excludes execution: a problem document of kind
 * `target-refused`. Any other answer, whatever its status, is the service's own.
 */
export default function isRefusal(head: AnswerHead, body: Buffer): boolean {
  return mayBeRefusal(head) && readProblemKind(body) === 'target-refused';
}

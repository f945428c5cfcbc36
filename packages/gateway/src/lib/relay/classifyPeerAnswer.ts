import type AnswerHead from '../wire/AnswerHead.js';
import type AnswerClassification from './AnswerClassification.js';
import classifyAnswer from './classifyAnswer.js';
import isNotRunStatus from './isNotRunStatus.js';

const TOO_MANY_REQUESTS = 429;
const REQUEST_TIMEOUT = 408;

/** Whether a refusal is about the request itself, which this entry has admitted: the other one knows less. */
function isDenial(status: number): boolean {
  return status >= 400 && status < 500 && status !== TOO_MANY_REQUESTS && status !== REQUEST_TIMEOUT;
}

/** Classifies an answer that came from another entry, which serves the request in place of this one. */
export default function classifyPeerAnswer(
  status: number,
  head: AnswerHead,
  requestId: string | null,
): AnswerClassification {
  if (head.declined && isNotRunStatus(status)) {
    return 'not-executed';
  }
  if (head.signed || status < 400) {
    return classifyAnswer(status, head, requestId);
  }
  return isDenial(status) ? 'not-executed' : 'passed-back';
}

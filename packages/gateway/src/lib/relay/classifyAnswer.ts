import type AnswerHead from '../wire/AnswerHead.js';
import type AnswerClassification from './AnswerClassification.js';
import MISDIRECTED_STATUS from './MISDIRECTED_STATUS.js';
import isForeignAnswer from './isForeignAnswer.js';

const FIRST_FAILURE_STATUS = 500;

/** Statuses that imply that a request did not run; they are trusted only if the target states it, too. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 429, 503]);

/** Classifies an answer by its status and head. */
export default function classifyAnswer(
  status: number,
  head: AnswerHead,
  requestId: string | null,
): AnswerClassification {
  if (isForeignAnswer(head, requestId)) {
    return 'foreign';
  }
  if (head.notExecuted || status === MISDIRECTED_STATUS) {
    return 'not-executed';
  }
  if (head.encoded) {
    return 'foreign';
  }
  if (status < 300 && (!head.signed || head.requestId !== requestId)) {
    return 'foreign';
  }
  if (NOT_EXECUTED_STATUSES.has(status)) {
    return 'foreign';
  }
  return status >= FIRST_FAILURE_STATUS ? 'failure' : 'own';
}

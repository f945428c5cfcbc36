import type AnswerHead from '../wire/AnswerHead.js';

/**
 * Whether an answer names another request than the one it came for. A target may write an earlier answer
 * once more on a connection that is in use again.
 */
export default function isForeignAnswer(head: AnswerHead, requestId: string | null): boolean {
  return requestId !== null && head.requestId !== null && head.requestId !== requestId;
}

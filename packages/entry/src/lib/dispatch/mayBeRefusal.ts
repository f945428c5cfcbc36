import type AnswerHead from '../requests/AnswerHead.js';

const REFUSAL_STATUSES: ReadonlySet<number> = new Set([409, 429, 503]);

/** Whether the body of an answer has to be read to tell if it is a refusal. */
export default function mayBeRefusal({ status, headers }: AnswerHead): boolean {
  return REFUSAL_STATUSES.has(status)
    && String(headers['content-type'] ?? '').startsWith('application/problem+json');
}

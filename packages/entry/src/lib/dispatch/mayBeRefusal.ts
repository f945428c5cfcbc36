import type AnswerHead from '../requests/AnswerHead.js';

const REFUSAL_STATUSES: ReadonlySet<number> = new Set([409, 429, 503]);

/** Whether an answer may be a refusal, judging by its head. Its body has to be read to be sure. */
export default function mayBeRefusal({ status, headers }: AnswerHead): boolean {
  return REFUSAL_STATUSES.has(status)
    && String(headers['content-type'] ?? '').startsWith('application/problem+json');
}

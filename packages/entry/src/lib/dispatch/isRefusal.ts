import { Problem } from '@dandelionlane/core';
import type AnswerHead from '../requests/AnswerHead.js';

const REFUSAL_STATUSES: ReadonlySet<number> = new Set([409, 429, 503]);
const PROBLEM_TYPE = 'application/problem+json';

/**
 * Whether an answer is a refusal that excludes execution: a problem document of kind
 * `target-refused`. Any other answer, whatever its status, is the service's own.
 */
export default function isRefusal(head: AnswerHead, body: Buffer): boolean {
  const type = String(head.headers['content-type'] ?? '');
  if (!REFUSAL_STATUSES.has(head.status) || !type.startsWith(PROBLEM_TYPE)) {
    return false;
  }
  try {
    const problem = Problem.safeParse(JSON.parse(body.toString('utf8')));
    return problem.success && problem.data.kind === 'target-refused';
  } catch {
    return false;
  }
}

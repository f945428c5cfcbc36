import { toProblem, type ServingError } from '@dandelionlane/core';
import type { Context } from 'hono';
import type { ContentfulStatusCode } from 'hono/utils/http-status';

/** Answers with an error as a problem document. */
export default function answerProblem(context: Context, error: ServingError) {
  const problem = toProblem(error);
  context.header('content-type', 'application/problem+json');
  if (problem.retryAfterSeconds !== undefined) {
    context.header('retry-after', String(problem.retryAfterSeconds));
  }
  return context.body(JSON.stringify(problem), problem.status as ContentfulStatusCode);
}

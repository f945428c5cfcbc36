import { toProblem, type ServingError } from '@dandelionlane/core';
import type { Context } from 'hono';
import type { ContentfulStatusCode } from 'hono/utils/http-status';

/** Answers with an error as a problem document, with its own status or the one given. */
export default function answerProblem(context: Context, error: ServingError, status?: number) {
  const problem = { ...toProblem(error), ...(status === undefined ? {} : { status }) };
  context.header('content-type', 'application/problem+json');
  if (problem.retryAfterSeconds !== undefined) {
    context.header('retry-after', String(problem.retryAfterSeconds));
  }
  return context.body(JSON.stringify(problem), problem.status as ContentfulStatusCode);
}

import { toProblem, type ServingError } from '@dandelionlane/core';

/** Creates a response with an error as a problem document. */
export default function problemResponse(error: ServingError): Response {
  const problem = toProblem(error);
  return new Response(JSON.stringify(problem), {
    status: problem.status,
    headers: {
      'content-type': 'application/problem+json',
      ...(problem.retryAfterSeconds === undefined ? {} : { 'retry-after': String(problem.retryAfterSeconds) }),
    },
  });
}

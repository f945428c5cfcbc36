import type { ServerResponse } from 'node:http';
import { toProblem, type RequestId, type ServingError } from '@dandelionlane/core';

/** Answers with an error. If the head was already sent, closes the connection: the answer is incomplete. */
export default function writeProblem(
  outgoing: ServerResponse,
  error: ServingError,
  requestId?: RequestId,
): void {
  if (outgoing.headersSent) {
    outgoing.destroy();
    return;
  }
  const problem = toProblem(error, requestId);
  const body = JSON.stringify(problem);
  outgoing.writeHead(problem.status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
    ...(problem.retryAfterSeconds === undefined
      ? {}
      : { 'retry-after': String(Math.ceil(problem.retryAfterSeconds)) }),
  });
  outgoing.end(body);
}

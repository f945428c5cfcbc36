import type { ServerResponse } from 'node:http';
import { ServingError, toProblem } from '@dandelionlane/core';

/**
 * Answers a request with a problem document. Does nothing when the answer has begun or the caller left.
 * @param finish Writes the body; by default the answer ends with it.
 */
export default function writeRefusal(
  outgoing: ServerResponse,
  error: ServingError,
  finish: (body: Buffer) => void = (body) => outgoing.end(body),
): void {
  if (outgoing.headersSent || outgoing.destroyed) {
    return;
  }
  const problem = toProblem(error);
  const body = Buffer.from(JSON.stringify(problem));
  outgoing.writeHead(problem.status, {
    'content-type': 'application/problem+json',
    'content-length': body.length,
    ...(problem.retryAfterSeconds === undefined ? {} : { 'retry-after': String(problem.retryAfterSeconds) }),
  });
  finish(body);
}

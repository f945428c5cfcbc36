import type { ServerResponse } from 'node:http';
import { toProblem, type RequestId, type ServingError } from '@dandelionlane/core';

/**
 * Ends a stream of events that cannot be completed: an `error` event, and no
 * `[DONE]`, so that the caller cannot take the answer for whole.
 */
export default function writeStreamProblem(
  outgoing: ServerResponse,
  error: ServingError,
  requestId: RequestId,
): void {
  outgoing.end(`event: error\ndata: ${JSON.stringify(toProblem(error, requestId))}\n\n`);
}

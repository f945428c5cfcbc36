import type { ServerResponse } from 'node:http';
import { toProblem, type RequestId, type ServingError } from '@dandelionlane/core';

/**
 * Ends an event stream that cannot be completed with an `error` event and without
 * `[DONE]`, so that the caller cannot mistake the answer for complete.
 */
export default function writeStreamProblem(
  outgoing: ServerResponse,
  error: ServingError,
  requestId: RequestId,
): void {
  outgoing.end(`event: error\ndata: ${JSON.stringify(toProblem(error, requestId))}\n\n`);
}

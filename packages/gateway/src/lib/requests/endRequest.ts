import { ServingError } from '@dandelionlane/core';
import abortAnswer from '../relay/abortAnswer.js';
import LEAVING_RETRY_SECONDS from './LEAVING_RETRY_SECONDS.js';
import type RunningRequest from './RunningRequest.js';
import writeRefusal from './writeRefusal.js';

/** Ends a request in flight: answers it, or cuts an answer that has begun. Returns the outcome. */
export default function endRequest({ outgoing, abandonment, log }: RunningRequest): string {
  // Before the answer, as a request that is refused as not run must not be sent to a target later.
  abandonment.abort();
  if (outgoing.headersSent) {
    abortAnswer(outgoing);
    return 'stream-cut';
  }
  const error = log.lastTarget === null
    ? new ServingError('this entry ends before a target took the request', {
      kind: 'entry-leaving', retryAfterSeconds: LEAVING_RETRY_SECONDS,
    })
    : new ServingError('this entry ends before the target has answered', { kind: 'target-timeout' });
  writeRefusal(outgoing, error);
  return error.kind;
}

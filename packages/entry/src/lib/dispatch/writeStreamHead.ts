import { HEADERS } from '@dandelionlane/core';
import type CallerRequest from '../requests/CallerRequest.js';

const STATUS_OK = 200;

/** Writes the head of a streamed answer, unless it was sent already or the caller has disconnected. */
export default function writeStreamHead({ outgoing, requestId }: CallerRequest): void {
  if (outgoing.headersSent || outgoing.destroyed) {
    return;
  }
  outgoing.writeHead(STATUS_OK, {
    'content-type': 'text/event-stream; charset=utf-8',
    'cache-control': 'no-store',
    [HEADERS.requestId]: requestId,
  });
}

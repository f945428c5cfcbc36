import { HEADERS } from '@dandelionlane/core';
import type CallerRequest from '../requests/CallerRequest.js';
import type AnswerHead from '../requests/AnswerHead.js';

const RELAYED_HEADERS = ['content-type', 'content-language', 'cache-control', 'etag', 'last-modified', 'location', 'retry-after'];

/** Writes a complete answer to the caller, unless an answer has begun or the caller has disconnected. */
export default function writeCompleteAnswer(
  { outgoing, requestId, method }: CallerRequest,
  head: AnswerHead,
  body: Buffer,
): void {
  if (outgoing.headersSent || outgoing.destroyed) {
    return;
  }
  RELAYED_HEADERS.forEach((name) => {
    const value = head.headers[name];
    if (value !== undefined) {
      outgoing.setHeader(name, value);
    }
  });
  outgoing.setHeader(HEADERS.requestId, requestId);
  outgoing.setHeader('content-length', body.length);
  outgoing.writeHead(head.status);
  outgoing.end(method === 'HEAD' ? undefined : body);
}

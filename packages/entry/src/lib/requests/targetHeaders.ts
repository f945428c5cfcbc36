import type { IncomingHttpHeaders } from 'node:http';
import { HEADERS, type ReplicaId } from '@dandelionlane/core';
import type CallerRequest from './CallerRequest.js';
import withoutConnectionHeaders from './withoutConnectionHeaders.js';

/** Computed from the body that is sent, which differs from the caller's for a resumed stream. */
const LENGTH_HEADER = 'content-length';

/** Headers of a request that is sent to a target or, if `replica` is null, forwarded to another entry. */
export default function targetHeaders(
  request: CallerRequest,
  replica: ReplicaId | null,
): IncomingHttpHeaders {
  const { [LENGTH_HEADER]: length, ...headers } = withoutConnectionHeaders(request.headers);
  return {
    ...headers,
    [HEADERS.requestId]: request.requestId,
    ...(replica === null ? {} : { [HEADERS.replica]: replica }),
  };
}

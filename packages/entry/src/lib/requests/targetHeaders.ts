import type { IncomingHttpHeaders } from 'node:http';
import { HEADERS, type ReplicaId } from '@dandelionlane/core';
import type CallerRequest from './CallerRequest.js';
import withoutConnectionHeaders from './withoutConnectionHeaders.js';

/** Headers under which a request goes on, to a target or, without a replica, to another entry. */
export default function targetHeaders(
  request: CallerRequest,
  replica: ReplicaId | null,
): IncomingHttpHeaders {
  return {
    ...withoutConnectionHeaders(request.headers),
    [HEADERS.requestId]: request.requestId,
    ...(replica === null ? {} : { [HEADERS.replica]: replica }),
  };
}

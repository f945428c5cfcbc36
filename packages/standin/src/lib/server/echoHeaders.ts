import { HEADERS } from '@dandelionlane/core';
import type RequestIdentity from '../engine/RequestIdentity.js';

/** Headers that tell to which request an answer belongs. */
export default function echoHeaders(identity: RequestIdentity): Record<string, string> {
  return {
    ...(identity.requestId === null ? {} : { [HEADERS.requestId]: identity.requestId }),
    ...(identity.replica === null ? {} : { [HEADERS.replica]: identity.replica }),
  };
}

import type { IncomingHttpHeaders, ServerResponse } from 'node:http';
import type {
  EntryId, IdempotencyKey, RequestId, ServiceDefinition, TeamId,
} from '@dandelionlane/core';
import type Repeatability from './Repeatability.js';

/** A request that was received whole and identified. Times are on the monotonic clock, in milliseconds. */
export default interface CallerRequest {
  /** The caller's name for the request. Several may carry the same one. */
  readonly requestId: RequestId;
  /** The entry's own name for the request, unlike that of any other. */
  readonly internalId: RequestId;
  readonly team: TeamId;
  readonly definition: ServiceDefinition;
  readonly method: string;
  /** Path and query at the target. */
  readonly path: string;
  /** Path and query as the caller sent them, for another entry. */
  readonly originalPath: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly streaming: boolean;
  readonly repeatability: Repeatability;
  readonly idempotencyKey: IdempotencyKey | null;
  /** Hash of the beginning of the prompt; null for plain services. */
  readonly prefixHash: number | null;
  readonly estimatedTokens: number;
  readonly receivedAtMilliseconds: number;
  readonly deadlineMilliseconds: number;
  /** The entry that passed the request on, if one did. */
  readonly forwardedBy: EntryId | null;
  /** Aborted when the caller goes away. */
  readonly callerGone: AbortSignal;
  readonly outgoing: ServerResponse;
}

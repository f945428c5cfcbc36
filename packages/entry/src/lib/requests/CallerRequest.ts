import type { IncomingHttpHeaders, ServerResponse } from 'node:http';
import type {
  EntryId, IdempotencyKey, RequestId, ServiceDefinition, TeamId,
} from '@dandelionlane/core';
import type Repeatability from './Repeatability.js';

/** A completely received and parsed request. Times are on the monotonic clock, in milliseconds. */
export default interface CallerRequest {
  /** Id chosen by the caller. Several requests may have the same one. */
  readonly requestId: RequestId;
  /** Id assigned by this entry, unique within the process. */
  readonly internalId: RequestId;
  readonly team: TeamId;
  readonly definition: ServiceDefinition;
  readonly method: string;
  /** Path and query for the target. */
  readonly path: string;
  /** Path and query as the caller sent them, for forwarding to another entry. */
  readonly originalPath: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly streaming: boolean;
  readonly repeatability: Repeatability;
  readonly idempotencyKey: IdempotencyKey | null;
  /** Hash of the start of the prompt; null for plain services. */
  readonly prefixHash: number | null;
  readonly estimatedTokens: number;
  readonly receivedAtMilliseconds: number;
  readonly deadlineMilliseconds: number;
  /** The entry that forwarded the request, or null if it came from a caller. */
  readonly forwardedBy: EntryId | null;
  /** Aborted when the caller disconnects. */
  readonly callerGone: AbortSignal;
  readonly outgoing: ServerResponse;
}

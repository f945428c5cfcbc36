import type {
  EntryId, IdempotencyKey, RequestId, TeamId,
} from '@dandelionlane/core';

/** What the headers of a caller's request say. */
export default interface CallerHeaders {
  readonly team: TeamId;
  readonly requestId: RequestId;
  readonly idempotencyKey: IdempotencyKey | null;
  readonly forwardedBy: EntryId | null;
  /** Time that the caller still waits, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

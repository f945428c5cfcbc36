import type {
  EntryId, IdempotencyKey, RequestId, TeamId,
} from '@dandelionlane/core';

/** Parsed headers of a caller's request. */
export default interface CallerHeaders {
  readonly team: TeamId;
  readonly requestId: RequestId;
  readonly idempotencyKey: IdempotencyKey | null;
  readonly forwardedBy: EntryId | null;
  /** How long the caller waits for the answer. */
  readonly timeoutMilliseconds: number;
}

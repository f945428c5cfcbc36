import type { ServingError, RowVersion } from '@dandelionlane/core';
import type { Result } from 'neverthrow';
import type ClaimOutcome from './ClaimOutcome.js';
import type ClaimRecord from './ClaimRecord.js';

/** A claim that is queued for the next group commit. */
export default interface ClaimAttempt {
  readonly key: string;
  readonly record: ClaimRecord;
  /** Version of the row that the claim replaces; 0 for an absent row. */
  readonly replacedVersion: RowVersion;
  /** Whether a commit with an unknown outcome may have taken effect, or may still do so. */
  readonly mayBeWritten: boolean;
  /** Monotonic time after which the claim is refused. */
  readonly deadlineMilliseconds: number;
  readonly settle: (result: Result<ClaimOutcome, ServingError>) => void;
}

import type { Priority, RequestId, TeamId } from '@dandelionlane/core';

/** A request offered to an `AdmissionQueue`. */
export default interface AdmissionRequest {
  readonly requestId: RequestId;
  readonly team: TeamId;
  readonly priority: Priority;
  /** Monotonic time by which its answer must be complete. */
  readonly deadlineMilliseconds: number;
  /** Monotonic time until which it may wait for a slot. */
  readonly queueUntilMilliseconds: number;
  /** Estimated time from dispatch to the last byte; 0 when unknown. */
  readonly expectedServiceMilliseconds: number;
}

import type { Priority, RequestId, TeamId } from '@dandelionlane/core';

/** A request that asks for a place among those in flight. */
export default interface AdmissionRequest {
  readonly requestId: RequestId;
  readonly team: TeamId;
  readonly priority: Priority;
  /** When its answer has to be complete, on the monotonic clock. */
  readonly deadlineMilliseconds: number;
  /** Until when it may wait for a target, on the monotonic clock. */
  readonly queueUntilMilliseconds: number;
  /** Estimate of the time from dispatch to the last byte; 0 when not known. */
  readonly expectedServiceMilliseconds: number;
}

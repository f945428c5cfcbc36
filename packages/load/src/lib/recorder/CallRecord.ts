import type PlannedCall from '../arrivals/PlannedCall.js';
import type CallResult from '../callers/CallResult.js';

/** A call that ended. Times are on the monotonic clock, in milliseconds. */
export default interface CallRecord {
  readonly call: PlannedCall;
  readonly result: CallResult;
  /** When the call was to start. All its times count from here, however late it was sent. */
  readonly intendedStart: number;
  readonly sentAt: number;
  readonly endedAt: number;
}

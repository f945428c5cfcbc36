import type CallerOutcome from './CallerOutcome.js';
import type RequestKind from './RequestKind.js';

/** A request of the soak as its caller sees it. */
export default interface SentRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly body: string;
  /** Events of its stream; 0 for other kinds. */
  readonly events: number;
  /** Name of the entry that it was sent to. */
  readonly entry: string;
  /** Whether it went over the link between callers and the entry, which faults disturb. */
  readonly overLink: boolean;
  /** Monotonic time, in ms. */
  readonly sentAt: number;
  readonly deadlineMilliseconds: number;
  /** Null while the request is under way. */
  outcome: CallerOutcome | null;
}

import type ReportedLoad from './ReportedLoad.js';

/** Decoded head of a target's answer, without its status. */
export default interface AnswerHead {
  /** Id of the request that the answer claims to belong to. */
  readonly requestId: string | null;
  /** Whether it bears the target's signature. */
  readonly signed: boolean;
  /** Another entry states that it has not passed the request on to a target, and never will. */
  readonly declined: boolean;
  /** The target states that it did not run the request. */
  readonly notExecuted: boolean;
  readonly load: ReportedLoad | null;
  /** Whether the target announces that it is leaving. */
  readonly leaving: boolean;
  /** Time for which the target asks for no further requests, in ms; null where it specifies none. */
  readonly retryAfterMilliseconds: number | null;
  /** Requests per second that the target takes from all entries together; null where it names no limit. */
  readonly limitRequestsPerSecond: number | null;
  /** Whether a content coding was applied that was not requested. */
  readonly encoded: boolean;
  /** Whether the body is a stream of events, as far as its content type says. */
  readonly eventStream: boolean;
  /** Whether the body had a length or was chunked as the target sent it: its end tells that it is whole. */
  readonly framed: boolean;
  /** Whether another entry has given the body the length that it did not have at the target. */
  readonly framedByEntry: boolean;
}

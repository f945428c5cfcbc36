import type ReceivedRequest from './ReceivedRequest.js';

/** A request in flight. */
export default interface RunningRequest extends Omit<ReceivedRequest, 'table'> {
  /** Aborted when its answer is no longer wanted. */
  readonly abandonment: AbortController;
  /** Outcome for the log if this entry ended the request; null otherwise. */
  endedAs: string | null;
}

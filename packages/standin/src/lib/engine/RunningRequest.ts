import type JournalRun from '../journal/JournalRun.js';

/** A request that a VM has accepted. */
export default interface RunningRequest {
  readonly run: JournalRun;
  /** Aborts when the caller goes away or the engine stops the request. */
  readonly signal: AbortSignal;
  readonly startedCold: boolean;
  /** Ends the run as cancelled: the caller went away. */
  cancel(): void;
  /** Ends the run as failed and destroys its connection. */
  fail(): void;
  /** Ends the run as finished. Without effect on a run that has ended. */
  finish(): void;
}

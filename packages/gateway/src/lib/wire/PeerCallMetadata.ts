/** Metadata that the gateway itself adds to a request to another entry. */
export default interface PeerCallMetadata {
  /** Time left, in ms. */
  readonly deadlineMilliseconds: number;
  /** Id of the event after which a resumed stream continues; null leaves the header of the caller. */
  readonly lastEventId: string | null;
  /** Executions that count against the limit of the route: those of before, and those that others may use. */
  readonly earlierExecutions: number;
  /** Whether a target may have run the request before. */
  readonly mayHaveRun: boolean;
}

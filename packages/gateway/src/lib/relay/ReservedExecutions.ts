/** Executions that an attempt may use, and what another entry has to know that takes the request. */
export default interface ReservedExecutions {
  /** More than one only where another entry takes the request. */
  readonly executions: number;
  /** Executions that count as used for that entry. */
  readonly earlierExecutions: number;
  /** Whether a target may have run the request before. */
  readonly mayHaveRun: boolean;
}

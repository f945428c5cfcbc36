/** What became of a small load. */
export default interface LoadOutcome {
  readonly answered: number;
  readonly failed: number;
  /** Text of one failure in brackets, or empty. */
  readonly example: string;
}

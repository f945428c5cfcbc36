/** A request submitted to a `FakeEngine`. */
export default interface EngineJob {
  /** Identifier of the shared prompt prefix. */
  readonly prefix: number;
  readonly prefixTokens: number;
  /** Prompt tokens after the shared prefix. */
  readonly suffixTokens: number;
  readonly outputTokens: number;
  readonly onFirstToken: () => void;
  /** Called with the time between two consecutive tokens, in milliseconds. */
  readonly onGap: (milliseconds: number) => void;
  readonly onEnd: (outcome: 'success' | 'failure') => void;
}

/** One request at a `FakeEngine`. */
export default interface EngineJob {
  /** Identifier of the shared beginning of the prompt. */
  readonly prefix: number;
  readonly prefixTokens: number;
  /** Prompt tokens after the shared beginning. */
  readonly suffixTokens: number;
  readonly outputTokens: number;
  readonly onFirstToken: () => void;
  /** Called with the time between two tokens, in milliseconds. */
  readonly onGap: (milliseconds: number) => void;
  readonly onEnd: (outcome: 'success' | 'failure') => void;
}

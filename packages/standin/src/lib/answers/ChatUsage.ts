/** Token counts of an answer. */
export default interface ChatUsage {
  readonly prompt_tokens: number;
  /** Tokens of the whole answer, also those delivered before a resume. */
  readonly completion_tokens: number;
  readonly total_tokens: number;
}

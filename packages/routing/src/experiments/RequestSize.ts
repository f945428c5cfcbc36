/** Prompt prefix and token counts of one request. */
export default interface RequestSize {
  readonly prefix: number;
  readonly prefixTokens: number;
  readonly suffixTokens: number;
  readonly outputTokens: number;
}

/** Sizes of one request. */
export default interface Work {
  readonly prefix: number;
  readonly prefixTokens: number;
  readonly suffixTokens: number;
  readonly outputTokens: number;
}

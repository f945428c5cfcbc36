/** What an entry knows of the work that a replica has ahead of it, in tokens. */
export default interface LoadEstimate {
  /** Outstanding tokens in the last report. */
  readonly reportedTokens: number;
  /** Time since that report arrived, in milliseconds. */
  readonly reportAgeMilliseconds: number;
  /** Tokens of requests that this entry has sent since that report arrived. */
  readonly localTokensSinceReport: number;
  /** Tokens of all requests that this entry has in flight there. */
  readonly localTokensInFlight: number;
}

/** An entry's inputs for estimating the outstanding work of a replica, in tokens. */
export default interface LoadEstimate {
  /** Outstanding tokens in the last report. */
  readonly reportedTokens: number;
  /** Time since that report arrived, in milliseconds. */
  readonly reportAgeMilliseconds: number;
  /** Tokens of the in-flight requests that this entry has sent since that report arrived. */
  readonly localTokensSinceReport: number;
  /** Tokens of all requests that this entry has in flight at the replica. */
  readonly localTokensInFlight: number;
}

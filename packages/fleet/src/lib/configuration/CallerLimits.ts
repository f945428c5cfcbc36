/** What a caller may send, and how long it may take. */
export default interface CallerLimits {
  readonly maximumBodyBytes: number;
  /** Longest time to send the head of a request, in ms. */
  readonly headerTimeoutMilliseconds: number;
  /** Longest time that a connection may stay idle between requests, in ms. */
  readonly idleTimeoutMilliseconds: number;
}

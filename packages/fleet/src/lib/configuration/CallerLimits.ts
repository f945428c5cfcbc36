/** Limits on the size and duration of callers' requests. */
export default interface CallerLimits {
  readonly maximumBodyBytes: number;
  /** Maximum time to send the head of a request, in ms. */
  readonly headerTimeoutMilliseconds: number;
  /** Maximum time that a connection may stay idle between requests, in ms. */
  readonly idleTimeoutMilliseconds: number;
}

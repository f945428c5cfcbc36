/** Links the end of a request to the state of the limiter at its dispatch. */
export default interface DispatchTicket {
  /** Number of resets of the limiter before the dispatch. */
  readonly epoch: number;
  /** Requests in flight at the dispatch, itself included. */
  readonly inFlight: number;
}

/** Ties the end of a request to the state of the limiter in which it was sent. */
export default interface DispatchTicket {
  /** Number of resets that the limiter had seen. */
  readonly epoch: number;
  /** Requests in flight when it was sent, itself included. */
  readonly inFlight: number;
}

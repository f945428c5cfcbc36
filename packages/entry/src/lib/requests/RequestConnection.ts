import type { IncomingMessage, ServerResponse } from 'node:http';

/** A request as it arrives on a connection, and the response to it. */
export default interface RequestConnection {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  /** On the monotonic clock. */
  readonly receivedAtMilliseconds: number;
  readonly callerGone: AbortSignal;
}

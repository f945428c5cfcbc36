import type { IncomingMessage, ServerResponse } from 'node:http';

/** The connection side of a request. */
export default interface RequestConnection {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  /** Monotonic time in milliseconds. */
  readonly receivedAtMilliseconds: number;
  readonly callerGone: AbortSignal;
}

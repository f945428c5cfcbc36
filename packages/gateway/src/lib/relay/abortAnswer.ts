import type { ServerResponse } from 'node:http';

/** Aborts an answer by a connection reset, so that even one without a length does not look complete. */
export default function abortAnswer(outgoing: ServerResponse): void {
  outgoing.socket?.resetAndDestroy();
  outgoing.destroy();
}

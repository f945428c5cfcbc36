import type { ServerResponse } from 'node:http';

/** Aborts an answer by a reset, so that one without chunks (HTTP/1.0) does not look complete either. */
export default function abortAnswer(outgoing: ServerResponse): void {
  outgoing.socket?.resetAndDestroy();
  outgoing.destroy();
}

import type { ServerResponse } from 'node:http';

/** Breaks an answer off with a reset, so that one without a length does not look complete either. */
export default function abortAnswer(outgoing: ServerResponse): void {
  outgoing.socket?.resetAndDestroy();
  outgoing.destroy();
}

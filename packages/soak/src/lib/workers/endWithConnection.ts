import type { ServerResponse } from 'node:http';

/** Makes an answer end with its connection, without a length or chunks. */
export default function endWithConnection(answer: ServerResponse): void {
  const outgoing = answer;
  outgoing.useChunkedEncodingByDefault = false;
  outgoing.shouldKeepAlive = false;
}

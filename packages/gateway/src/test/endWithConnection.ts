import type { ServerResponse } from 'node:http';

/** Makes an answer end with its connection, without a length or chunks. */
export default function endWithConnection(outgoing: ServerResponse): void {
  Object.assign(outgoing, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
}

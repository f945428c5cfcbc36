import type { ServerResponse } from 'node:http';

/**
 * Writes the head of an answer. An answer that arrived without a length is passed on without one and
 * ends with its connection: whether it is complete is unknown, and a length would assert that it is.
 */
export default function writeAnswerHead(
  answer: ServerResponse,
  status: number,
  headers: Record<string, string | string[]>,
  framed: boolean,
): void {
  const outgoing = answer;
  if (!framed) {
    outgoing.useChunkedEncodingByDefault = false;
    outgoing.shouldKeepAlive = false;
  }
  outgoing.writeHead(status, headers);
}

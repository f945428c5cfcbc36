import type { ServerResponse } from 'node:http';

/**
 * Writes the head of an answer. An answer that came without a length goes on without one, ended by
 * its connection: nobody can tell whether it is whole, and a length would say that it is.
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

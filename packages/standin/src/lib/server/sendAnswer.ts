import { STATUS_CODES, type ServerResponse } from 'node:http';
import type RawAnswer from './RawAnswer.js';

function toBytes({ status, headers, body }: RawAnswer): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  return [`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`, ...lines, '', body].join('\r\n');
}

/** Sends an answer; a duplicate follows it on the same connection, as no correct server would send it. */
export default function sendAnswer(outgoing: ServerResponse, answer: RawAnswer, duplicate: boolean): void {
  const { socket } = outgoing;
  const headers = { ...answer.headers, 'content-length': String(Buffer.byteLength(answer.body)) };
  if (duplicate) {
    outgoing.once('finish', () => socket?.write(toBytes({ ...answer, headers })));
  }
  outgoing.writeHead(answer.status, headers);
  outgoing.end(answer.body);
}

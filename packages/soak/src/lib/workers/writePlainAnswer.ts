import type { ServerResponse } from 'node:http';
import { STAND_IN_STATUSES } from '@dandelionlane/platform-adapter';
import type AnswerFault from './AnswerFault.js';
import endWithConnection from './endWithConnection.js';
import writeEndlessly from './writeEndlessly.js';

const EXTRA_ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra';

/** How a plain request is answered. */
interface PlainAnswerOptions {
  readonly fault: AnswerFault;
  /** Whether the answer has a length. */
  readonly framed: boolean;
  /** Time between its halves if it has none, in ms. */
  readonly halfMilliseconds: number;
}

/** Answers a plain request that has run, as well or badly as the fault says. */
export default function writePlainAnswer(
  outgoing: ServerResponse,
  body: string,
  { fault, framed, halfMilliseconds }: PlainAnswerOptions,
): void {
  switch (fault) {
    case 'none':
    case 'mute':
      if (framed) {
        outgoing.writeHead(STAND_IN_STATUSES.ok, { 'content-length': body.length }).end(body);
      } else {
        endWithConnection(outgoing);
        outgoing.writeHead(STAND_IN_STATUSES.ok);
        outgoing.write(body.slice(0, body.length / 2));
        setTimeout(() => outgoing.end(body.slice(body.length / 2)), halfMilliseconds);
      }
      return;
    case 'endless':
      writeEndlessly(outgoing, 'body');
      return;
    case 'interim':
      writeEndlessly(outgoing, 'interim-heads');
      return;
    case 'cut':
      outgoing.writeHead(STAND_IN_STATUSES.ok, { 'content-length': body.length });
      outgoing.write(body.slice(0, body.length / 2), () => outgoing.destroy());
      return;
    case 'lost':
      outgoing.destroy();
      return;
    case 'extra':
      outgoing.writeHead(STAND_IN_STATUSES.ok, { 'content-length': body.length });
      outgoing.end(body, () => outgoing.socket?.write(EXTRA_ANSWER));
      return;
    case 'failing':
      outgoing.writeHead(STAND_IN_STATUSES.failed, { 'content-length': 0 }).end();
      return;
    default:
      fault satisfies never;
  }
}

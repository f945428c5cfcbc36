import type { ServerResponse } from 'node:http';
import { STAND_IN_STATUSES } from '@dandelionlane/platform-adapter';
import type AnswerFault from './AnswerFault.js';

const EXTRA_ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra';

/** Answers a plain request that has run, as well or badly as the fault says. */
export default function writePlainAnswer(outgoing: ServerResponse, body: string, fault: AnswerFault): void {
  switch (fault) {
    case 'none':
    case 'mute':
      outgoing.writeHead(STAND_IN_STATUSES.ok, { 'content-length': body.length }).end(body);
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

import type { ServerResponse } from 'node:http';
import type { ServingError } from '@dandelionlane/core';
import writeRefusal from './writeRefusal.js';

/**
 * Time for which a connection stays open after a refusal of a body that is still being sent, in ms: closed
 * at once, it would be reset, and a caller on another machine might not read the answer.
 */
const LINGER_MILLISECONDS = 250;

/**
 * Refuses a request whose body has not been read to its end, and then closes its connection.
 * @param lingers Whether the connection stays open for a while.
 */
export default function refuseUnread(outgoing: ServerResponse, error: ServingError, lingers: boolean): void {
  if (outgoing.headersSent || outgoing.destroyed) {
    return;
  }
  outgoing.setHeader('connection', 'close');
  writeRefusal(outgoing, error, (body) => {
    if (lingers) {
      outgoing.write(body);
      setTimeout(() => outgoing.end(), LINGER_MILLISECONDS);
    } else {
      outgoing.end(body);
    }
  });
}

import { createServer, type Server } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import type { Hono } from 'hono';
import {
  ConnectionLimiter, SERVER_OPTIONS, readAnnouncedBytes, answerExpectations, type Clock, type ListenAddress,
} from '@dandelionlane/core';
import type ClosedConnections from './ClosedConnections.js';

const STATUS_TOO_LARGE = 413;
const STATUS_UNAVAILABLE = 503;

/** Limits of a server for an application. */
interface ListenOptions {
  readonly clock: Clock;
  /** Limit on connections and unfinished requests; null for none. */
  readonly maximumConnections: number | null;
  readonly closed: ClosedConnections;
}

/** Serves an application at an address; with an address of null, starts no server and returns null. */
export default function listenHono(
  application: Hono,
  address: ListenAddress | null,
  { clock, maximumConnections, closed }: ListenOptions,
): Server | null {
  if (address === null) {
    return null;
  }
  const listener = getRequestListener((request) => application.fetch(request));
  const server = createServer(SERVER_OPTIONS);
  const limiter = new ConnectionLimiter(server, {
    maximumConnections, clock, onClosed: (phase) => closed.record(phase),
  });
  // No request of these applications has a body.
  answerExpectations(server, () => 0);
  server.on('request', (incoming, outgoing) => {
    const admission = limiter.admit(incoming, outgoing);
    switch (admission) {
      case 'serve':
        if (readAnnouncedBytes(incoming) > 0 || incoming.headers['transfer-encoding'] !== undefined) {
          outgoing.writeHead(STATUS_TOO_LARGE, { connection: 'close' }).end();
        } else {
          void listener(incoming, outgoing);
        }
        break;
      case 'refuse':
        outgoing.writeHead(STATUS_UNAVAILABLE, { connection: 'close', 'retry-after': '1' }).end();
        break;
      case 'drop':
        break;
      default:
        admission satisfies never;
    }
  });
  server.listen(address.port, address.host);
  return server;
}

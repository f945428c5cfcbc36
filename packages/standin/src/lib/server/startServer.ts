import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createAdaptorServer } from '@hono/node-server';
import { ServingError } from '@dandelionlane/core';
import { ResultAsync } from 'neverthrow';
import type RunningServer from './RunningServer.js';
import type ServerApp from './ServerApp.js';

function listen(app: ServerApp, host: string, port: number): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createAdaptorServer({ fetch: app.fetch }) as Server;
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve(server);
    });
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

function toRunningServer(server: Server, host: string): RunningServer {
  const { port } = server.address() as AddressInfo;
  return {
    address: `${host}:${port}`,
    close: () => closeServer(server),
  };
}

/** Starts an application on a port; port 0 takes any free one. Error: `internal` when it cannot be bound. */
export default function startServer(
  app: ServerApp,
  host: string,
  port: number,
): ResultAsync<RunningServer, ServingError> {
  return ResultAsync.fromPromise(
    listen(app, host, port),
    (cause) => new ServingError(`cannot listen on ${host}:${port}`, { kind: 'internal', cause }),
  ).map((server) => toRunningServer(server, host));
}

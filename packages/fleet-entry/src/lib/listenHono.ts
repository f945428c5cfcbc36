import { createServer, type Server } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import type { Hono } from 'hono';
import type { ListenAddress } from '@dandelionlane/core';

/** Serves an application at an address; with an address of null, starts no server and returns null. */
export default function listenHono(application: Hono, address: ListenAddress | null): Server | null {
  if (address === null) {
    return null;
  }
  const server = createServer(getRequestListener((request) => application.fetch(request)));
  server.listen(address.port, address.host);
  return server;
}

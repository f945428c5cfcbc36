import { createServer, type Server } from 'node:net';

/** Listens at a port; null when it is taken. */
export default function listenAt(port: number): Promise<Server | null> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(null));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

import { createServer, type AddressInfo } from 'node:net';
import type ListeningPort from './ListeningPort.js';

/** Listens at a port, or at any for 0; null when it is taken. */
export default function listenAt(port: number): Promise<ListeningPort | null> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(null));
    server.listen(port, '127.0.0.1', () => {
      resolve({ server, port: (server.address() as AddressInfo).port });
    });
  });
}

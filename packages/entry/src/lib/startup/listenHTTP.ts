import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Binds a server and resolves to its `host:port`. Rejects if the port cannot be bound. */
export default function listenHTTP(server: Server, host: string, port: number): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(`${host}:${(server.address() as AddressInfo).port}`));
  });
}

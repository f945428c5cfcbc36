import { createServer as createTcpServer } from 'node:net';
import listenOn from './listenOn.js';

/** Finds a free port that has enough free ones after it. */
export default async function findPorts(count) {
  for (;;) {
    const servers = [];
    try {
      const first = createTcpServer();
      servers.push(first);
      const port = await listenOn(first, 0);
      for (let offset = 1; offset < count; offset += 1) {
        const next = createTcpServer();
        servers.push(next);
        await listenOn(next, port + offset);
      }
      return port;
    } catch {
      // Another range.
    } finally {
      await Promise.all(servers.map((server) => new Promise((done) => {
        server.close(done);
      })));
    }
  }
}

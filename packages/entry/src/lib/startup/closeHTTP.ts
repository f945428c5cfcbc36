import type { Server } from 'node:http';

/** Stops a server from accepting connections, and resolves when its responses in flight have ended. */
export default function closeHTTP(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}

import type { Server } from 'node:http';

/** Closes a server once its answers under way have ended. */
export default function closeHTTP(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}

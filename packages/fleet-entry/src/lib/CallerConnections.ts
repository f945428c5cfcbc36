import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** The open connections of callers. */
export default class CallerConnections {
  readonly #open = new Set<Socket>();

  constructor(server: Server) {
    server.on('connection', (socket) => {
      this.#open.add(socket);
      socket.once('close', () => this.#open.delete(socket));
    });
  }

  /** Number of open connections. */
  get open(): number {
    return this.#open.size;
  }
}

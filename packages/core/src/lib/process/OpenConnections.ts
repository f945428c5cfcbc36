import type { Server, ServerResponse } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';

/** State of an open connection. */
interface ConnectionState {
  /** Requests whose answers have not been sent to the last byte. */
  running: number;
  /** Bytes that had been read when the last answer was sent; bytes beyond are those of a further request. */
  answeredBytes: number;
}

/**
 * The open connections of an HTTP server, for its shutdown. Node's own notion of an idle connection does not
 * fit it: one on which nothing was ever sent is not idle, one whose answer is still being sent is.
 */
export default class OpenConnections {
  readonly #server: Server;

  readonly #states = new Map<Socket, ConnectionState>();

  /** @param server A server that does not listen yet. */
  constructor(server: Server) {
    this.#server = server;
    server.on('connection', (socket) => {
      this.#states.set(socket, { running: 0, answeredBytes: 0 });
      socket.once('close', () => this.#states.delete(socket));
    });
    server.on('request', ({ socket }, outgoing) => this.#trackAnswer(socket, outgoing));
  }

  /** Number of open connections. */
  get count(): number {
    return this.#states.size;
  }

  /** Number of requests whose answers have not been sent to the last byte. */
  get unsent(): number {
    return [...this.#states.values()].reduce((sum, { running }) => sum + running, 0);
  }

  /** Accepts no further connections. Those that are open stay. */
  stopListening(): void {
    // The method of an HTTP server also closes the connections that are idle to it.
    NetServer.prototype.close.call(this.#server);
  }

  /** Closes the connections on which nothing has been read that waits for an answer. */
  closeUnused(): void {
    [...this.#states]
      .filter(([socket, { running, answeredBytes }]) => running === 0 && socket.bytesRead === answeredBytes)
      .forEach(([socket]) => {
        this.#states.delete(socket);
        socket.destroy();
      });
  }

  /** Closes all connections. Answers that have not been sent are cut. */
  closeAll(): void {
    const sockets = [...this.#states.keys()];
    this.#states.clear();
    sockets.forEach((socket) => socket.destroy());
  }

  #trackAnswer(socket: Socket, outgoing: ServerResponse): void {
    const state = this.#states.get(socket);
    if (state !== undefined) {
      state.running += 1;
      outgoing.once('close', () => {
        state.running -= 1;
        state.answeredBytes = socket.bytesRead;
      });
    }
  }
}

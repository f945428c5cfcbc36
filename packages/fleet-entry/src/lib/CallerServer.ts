import { createServer, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type AddressInfo, type Socket } from 'node:net';
import type { ListenAddress } from '@dandelionlane/core';
import type { ConfigurationHolder } from '@dandelionlane/fleet';
import type { RequestServer } from '@dandelionlane/gateway';

/** Largest total size of the headers of a request, in bytes: more than configurations allow. */
const MAXIMUM_HEADER_BYTES = 64 * 1_024;

/** Idle timeout of callers' connections until a configuration sets it, in ms. */
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 15_000;

/** State of a connection of a caller. */
interface CallerConnection {
  /** Requests whose answers have not been sent to the last byte. */
  running: number;
  /** Bytes that had been read when the last answer was sent; bytes beyond are those of a further request. */
  answeredBytes: number;
}

/** The server that callers connect to. Applies the limits of the configuration in force. */
export default class CallerServer {
  readonly #requests: Pick<RequestServer, 'handle' | 'inFlight' | 'endAll'>;

  readonly #server: Server;

  readonly #connections = new Map<Socket, CallerConnection>();

  constructor(
    requests: Pick<RequestServer, 'handle' | 'inFlight' | 'endAll'>,
    configuration: Pick<ConfigurationHolder, 'table'>,
  ) {
    this.#requests = requests;
    const server = createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
      requestTimeout: 0,
    }, (incoming, outgoing) => {
      const limits = configuration.table?.configuration.limits;
      if (limits !== undefined) {
        server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
        server.headersTimeout = limits.headerTimeoutMilliseconds;
      }
      this.#trackAnswer(incoming.socket, outgoing);
      void requests.handle(incoming, outgoing);
    });
    server.on('connection', (socket) => {
      this.#connections.set(socket, { running: 0, answeredBytes: 0 });
      socket.once('close', () => this.#connections.delete(socket));
    });
    this.#server = server;
  }

  /** Number of open connections. */
  get open(): number {
    return this.#connections.size;
  }

  /** Number of requests that are being served, or whose answers have not been sent to the last byte. */
  get inFlight(): number {
    const unsent = [...this.#connections.values()].reduce((sum, { running }) => sum + running, 0);
    return Math.max(this.#requests.inFlight, unsent);
  }

  /** Starts to listen and resolves to the bound port. */
  listen({ port, host }: ListenAddress): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(port, host, () => resolve((this.#server.address() as AddressInfo).port));
    });
  }

  /** Accepts no further connections. Those that are open stay. */
  stopListening(): void {
    // The method of an HTTP server also closes connections whose answers are still being sent.
    NetServer.prototype.close.call(this.#server);
  }

  /** Ends the requests in flight: those without an answer get one, and answers that have begun are cut. */
  endAll(): void {
    this.#requests.endAll();
  }

  /** Closes the connections on which nothing has been read that waits for an answer. */
  closeUnused(): void {
    [...this.#connections]
      .filter(([socket, { running, answeredBytes }]) => running === 0 && socket.bytesRead === answeredBytes)
      .forEach(([socket]) => {
        this.#connections.delete(socket);
        socket.destroy();
      });
  }

  #trackAnswer(socket: Socket, outgoing: ServerResponse): void {
    const connection = this.#connections.get(socket);
    if (connection !== undefined) {
      connection.running += 1;
      outgoing.once('close', () => {
        connection.running -= 1;
        connection.answeredBytes = socket.bytesRead;
      });
    }
  }
}

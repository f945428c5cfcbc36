import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { ListenAddress } from '@dandelionlane/core';
import type { ConfigurationHolder } from '@dandelionlane/fleet';
import type { RequestServer } from '@dandelionlane/gateway';

/** Largest total size of the headers of a request, in bytes: more than configurations allow. */
const MAXIMUM_HEADER_BYTES = 64 * 1_024;

/** Idle timeout of callers' connections until a configuration sets it, in ms. */
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 15_000;

/** The server that callers connect to. Applies the limits of the configuration in force. */
export default class CallerServer {
  readonly #requests: Pick<RequestServer, 'handle' | 'inFlight'>;

  readonly #server: Server;

  readonly #open = new Set<Socket>();

  constructor(
    requests: Pick<RequestServer, 'handle' | 'inFlight'>,
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
      void requests.handle(incoming, outgoing);
    });
    server.on('connection', (socket) => {
      this.#open.add(socket);
      socket.once('close', () => this.#open.delete(socket));
    });
    this.#server = server;
  }

  /** Number of open connections. */
  get open(): number {
    return this.#open.size;
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.#requests.inFlight;
  }

  /** Starts to listen and resolves to the bound port. */
  listen({ port, host }: ListenAddress): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(port, host, () => resolve((this.#server.address() as AddressInfo).port));
    });
  }

  /** Accepts no further connections. */
  stopListening(): void {
    this.#server.close();
  }
}

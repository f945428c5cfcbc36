import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { OpenConnections, type ListenAddress } from '@dandelionlane/core';
import type { ConfigurationHolder } from '@dandelionlane/fleet';
import type { RequestServer } from '@dandelionlane/gateway';

/** Largest total size of the headers of a request, in bytes: more than configurations allow. */
const MAXIMUM_HEADER_BYTES = 64 * 1_024;

/** Idle timeout of callers' connections until a configuration sets it, in ms. */
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 15_000;

/** The server that callers connect to. Applies the limits of the configuration in force. */
export default class CallerServer {
  readonly #requests: Pick<RequestServer, 'handle' | 'inFlight' | 'endAll'>;

  readonly #server: Server;

  readonly #connections: OpenConnections;

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
      void requests.handle(incoming, outgoing);
    });
    this.#server = server;
    this.#connections = new OpenConnections(server);
  }

  /** Number of open connections. */
  get open(): number {
    return this.#connections.count;
  }

  /** Number of requests that are being served, or whose answers have not been sent to the last byte. */
  get inFlight(): number {
    return Math.max(this.#requests.inFlight, this.#connections.unsent);
  }

  /** Starts to listen and resolves to the bound port. */
  listen({ port, host }: ListenAddress): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(port, host, () => resolve((this.#server.address() as AddressInfo).port));
    });
  }

  /** Accepts no further connections. Those that are open stay. */
  stopListening(): void {
    this.#connections.stopListening();
  }

  /** Ends the requests in flight: those without an answer get one, and answers that have begun are cut. */
  endAll(): void {
    this.#requests.endAll();
  }

  /** Closes the connections on which nothing has been read that waits for an answer. */
  closeUnused(): void {
    this.#connections.closeUnused();
  }
}

import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  ConnectionLimiter, OpenConnections, ServingError, SystemClock, answerExpectations,
  type Clock, type ListenAddress,
} from '@dandelionlane/core';
import type { ConfigurationHolder } from '@dandelionlane/fleet';
import { refuseUnread, type RequestServer } from '@dandelionlane/gateway';
import type ClosedConnections from './ClosedConnections.js';

/** Largest total size of the headers of a request, in bytes: more than configurations allow. */
const MAXIMUM_HEADER_BYTES = 64 * 1_024;

/** Idle timeout of callers' connections until a configuration sets it, in ms. */
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 15_000;

/** Longest time for the head of a request until a configuration sets it, in ms. */
const DEFAULT_HEADER_TIMEOUT_MILLISECONDS = 10_000;

/**
 * Period of the check for heads that do not end in time, in ms. Node's default of 30 s is ten times that
 * time.
 */
const HEADER_CHECK_PERIOD_MILLISECONDS = 1_000;

/** Limits of a `CallerServer` that do not come from the configuration. */
interface CallerLimits {
  /** Limit on connections and unfinished requests; null for none. */
  readonly maximumConnections: number | null;
  readonly clock: Clock;
  readonly closed: Pick<ClosedConnections, 'record'> | null;
}

/** The server that callers connect to. Applies the limits of the configuration in force. */
export default class CallerServer {
  readonly #requests: Pick<RequestServer, 'handle' | 'inFlight' | 'endAll'>;

  readonly #server: Server;

  readonly #connections: OpenConnections;

  constructor(
    requests: Pick<RequestServer, 'handle' | 'inFlight' | 'endAll'>,
    configuration: Pick<ConfigurationHolder, 'table'>,
    {
      maximumConnections, clock, closed,
    }: CallerLimits = { maximumConnections: null, clock: new SystemClock(), closed: null },
  ) {
    this.#requests = requests;
    const server = createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MILLISECONDS,
      // Bodies may be sent slowly; `readBody` bounds their pace.
      requestTimeout: 0,
      connectionsCheckingInterval: HEADER_CHECK_PERIOD_MILLISECONDS,
    });
    const limiter = new ConnectionLimiter(server, {
      maximumConnections,
      clock,
      headTimeoutMilliseconds: () => (
        configuration.table?.configuration.limits.headerTimeoutMilliseconds
          ?? DEFAULT_HEADER_TIMEOUT_MILLISECONDS
      ),
      onClosed: (phase) => closed?.record(phase),
    });
    answerExpectations(server, () => (
      configuration.table?.configuration.limits.maximumBodyBytes ?? Number.POSITIVE_INFINITY
    ));
    server.on('request', (incoming, outgoing) => {
      const limits = configuration.table?.configuration.limits;
      if (limits !== undefined) {
        server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
        // It counts from the opening of a connection; that of a head which has begun is checked above.
        server.headersTimeout = Math.max(limits.headerTimeoutMilliseconds, limits.idleTimeoutMilliseconds);
      }
      const admission = limiter.admit(incoming, outgoing);
      switch (admission) {
        case 'serve':
          void requests.handle(incoming, outgoing);
          break;
        case 'refuse':
          refuseUnread(
            outgoing,
            new ServingError('too many requests are unfinished', { kind: 'requests-full' }),
            true,
          );
          break;
        case 'drop':
          break;
        default:
          admission satisfies never;
      }
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

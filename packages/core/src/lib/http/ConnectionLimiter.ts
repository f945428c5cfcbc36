import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type Clock from '../time/Clock.js';
import type ConnectionPhase from './ConnectionPhase.js';
import TrackedConnection from './TrackedConnection.js';
import chooseConnectionToClose from './chooseConnectionToClose.js';

/** Requests of one connection that are unfinished at once: callers do not pipeline, proxies only a few. */
const MAXIMUM_PIPELINED = 8;

/** Period of the check for heads that do not end, in ms. */
const HEAD_CHECK_MILLISECONDS = 1_000;

const BAD_REQUEST = '400 Bad Request';

const REQUEST_TIMEOUT = '408 Request Timeout';

/** Statuses of requests that cannot be read, by the code of the error; those of Node without a listener. */
const STATUS_LINES: ReadonlyMap<string, string> = new Map([
  ['ERR_HTTP_REQUEST_TIMEOUT', REQUEST_TIMEOUT],
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', '413 Payload Too Large'],
]);

/** Options of a `ConnectionLimiter`. */
interface ConnectionLimiterOptions {
  /** Limit on open connections, and on unfinished requests; null for none. */
  readonly maximumConnections: number | null;
  readonly clock: Clock;
  /** Whether the server changes protocols; without, Node serves such requests as ordinary ones. */
  readonly upgrades?: boolean;
  /**
   * Time for a head from its first byte, in ms. Node's own counts from the opening of a connection, which
   * callers may do a while before their request.
   */
  readonly headTimeoutMilliseconds?: () => number;
  /** Called for each connection that the limits close or refuse. */
  readonly onClosed?: (phase: ConnectionPhase | 'refused' | 'pipelining') => void;
}

/**
 * Bounds the connections of an HTTP server and their unfinished requests. Beyond the bound it closes the
 * connection that `chooseConnectionToClose` names, or refuses the new one.
 */
export default class ConnectionLimiter {
  readonly #options: ConnectionLimiterOptions;

  readonly #connections = new Map<Socket, TrackedConnection>();

  #unfinished = 0;

  /** @param server A server that does not listen yet. */
  constructor(server: Server, options: ConnectionLimiterOptions) {
    this.#options = options;
    server.on('connection', (socket) => this.#accept(socket));
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => this.#rejectInvalid(error, socket));
    const { headTimeoutMilliseconds } = options;
    if (headTimeoutMilliseconds !== undefined) {
      const check = () => this.#closeSlowHeads(headTimeoutMilliseconds());
      const timer = setInterval(check, HEAD_CHECK_MILLISECONDS).unref();
      server.once('close', () => clearInterval(timer));
    }
    if (options.upgrades === true) {
      server.on('upgrade', ({ socket }) => this.#noteUpgrade(socket));
    }
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#connections.size;
  }

  /** Number of requests whose answers have not been sent to the last byte. */
  get unfinished(): number {
    return this.#unfinished;
  }

  /**
   * Counts a request. Returns whether it may be served: `refuse` where there are too many, `drop` where its
   * connection is closed, as it sends requests without end before their answers.
   */
  admit(incoming: IncomingMessage, outgoing: ServerResponse): 'serve' | 'refuse' | 'drop' {
    const connection = this.#connections.get(incoming.socket);
    if (connection === undefined || incoming.socket.destroyed) {
      return incoming.socket.destroyed ? 'drop' : 'serve';
    }
    const { maximumConnections, clock, onClosed } = this.#options;
    if (connection.running.size >= MAXIMUM_PIPELINED) {
      this.#close(connection);
      onClosed?.('pipelining');
      return 'drop';
    }
    const request = [incoming, outgoing] as const;
    connection.hadRequest = true;
    connection.since = clock.monotonicMilliseconds();
    connection.running.add(request);
    this.#unfinished += 1;
    outgoing.once('close', () => {
      connection.since = clock.monotonicMilliseconds();
      connection.answeredBytes = connection.socket.bytesRead;
      connection.running.delete(request);
      this.#unfinished -= 1;
    });
    return maximumConnections !== null && this.#unfinished > maximumConnections ? 'refuse' : 'serve';
  }

  /**
   * Ends a connection whose next request cannot be read. While an earlier request of it is being served, the
   * status would be taken for the answer to that one.
   */
  #rejectInvalid({ code }: NodeJS.ErrnoException, socket: Duplex): void {
    const connection = this.#connections.get(socket as Socket);
    if (!socket.writable || (connection !== undefined && connection.running.size > 0)) {
      socket.destroy();
      return;
    }
    ConnectionLimiter.#endWith(socket, STATUS_LINES.get(code ?? '') ?? BAD_REQUEST);
  }

  static #endWith(socket: Duplex, status: string): void {
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`, () => socket.destroy());
  }

  #closeSlowHeads(timeoutMilliseconds: number): void {
    const now = this.#options.clock.monotonicMilliseconds();
    [...this.#connections.values()]
      .filter((connection) => connection.measureHead(now) >= timeoutMilliseconds)
      .forEach(({ socket, phase }) => {
        this.#options.onClosed?.(phase);
        ConnectionLimiter.#endWith(socket, REQUEST_TIMEOUT);
      });
  }

  #accept(socket: Socket): void {
    const { maximumConnections, clock, onClosed } = this.#options;
    if (maximumConnections !== null && this.#connections.size >= maximumConnections) {
      const closed = chooseConnectionToClose(this.#connections.values(), clock.monotonicMilliseconds());
      onClosed?.(closed?.phase ?? 'refused');
      if (closed === null) {
        socket.destroy();
        return;
      }
      this.#close(closed);
    }
    const connection = new TrackedConnection(socket, clock.monotonicMilliseconds());
    this.#connections.set(socket, connection);
    socket.once('close', () => {
      this.#connections.delete(socket);
      // Node closes only the answer that is being sent, and not those that wait behind it.
      [...connection.running].filter(([, outgoing]) => outgoing.socket === null).forEach(([, outgoing]) => {
        outgoing.destroy();
        outgoing.emit('close');
      });
    });
  }

  #noteUpgrade(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection !== undefined) {
      connection.isUpgraded = true;
    }
  }

  #close({ socket }: TrackedConnection): void {
    this.#connections.delete(socket);
    socket.destroy();
  }
}

import { connect, type Socket } from 'node:net';
import { Client } from 'undici';

/** Time to establish a connection, in ms: a target in the same region accepts within a few ms. */
const CONNECT_TIMEOUT_MILLISECONDS = 200;

/** Idle time after which a connection is closed where the target specifies none, in ms. */
const IDLE_TIMEOUT_MILLISECONDS = 3_000;

/** Upper bound of the idle time that a target specifies, in ms. */
const MAXIMUM_IDLE_MILLISECONDS = 15_000;

/** One connection to a target, used by one request at a time. */
export default class TargetConnection {
  readonly client: Client;

  #failed = false;

  #ended = false;

  #closed = false;

  readonly #onClosed: (connection: TargetConnection) => void;

  /** @param address Host and port. */
  constructor(address: string, onClosed: (connection: TargetConnection) => void) {
    this.#onClosed = onClosed;
    const [host = '', port = ''] = address.split(':');
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS,
      keepAliveMaxTimeout: MAXIMUM_IDLE_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (_options, callback) => this.#connect(host, Number(port), callback),
    });
  }

  /**
   * Whether an answer that the client reports as complete is so. The client also reports one when a
   * connection that was not to be kept alive ended inside the answer.
   * @param framed Whether the answer has a length or is chunked.
   */
  isAnswerComplete(framed: boolean): boolean {
    return !this.#failed && !(framed && this.#ended);
  }

  get closed(): boolean {
    return this.#closed;
  }

  destroy(): void {
    if (!this.#closed) {
      this.#closed = true;
      this.#onClosed(this);
      // The error goes to the request that runs on the connection.
      this.client.destroy().catch(() => undefined);
    }
  }

  #connect(host: string, port: number, callback: (...args: [null, Socket] | [Error, null]) => void): void {
    const socket = connect({
      host, port, noDelay: true, keepAlive: true, keepAliveInitialDelay: CONNECT_TIMEOUT_MILLISECONDS,
    });
    let settled = false;
    const timer = setTimeout(() => {
      const error = new Error(`no connection within ${CONNECT_TIMEOUT_MILLISECONDS} ms`);
      socket.destroy(Object.assign(error, { code: 'ETIMEDOUT' }));
    }, CONNECT_TIMEOUT_MILLISECONDS);
    socket.once('connect', () => {
      settled = true;
      clearTimeout(timer);
      callback(null, socket);
    });
    socket.on('error', (error) => {
      this.#failed = true;
      clearTimeout(timer);
      if (!settled) {
        settled = true;
        callback(error, null);
      }
    });
    // Registered before the client's own listeners, so that the cause is known when it reports completion.
    socket.once('end', () => {
      this.#ended = true;
      // Node.js reports a reset that comes together with bytes as an end. The system knows no peer then.
      this.#failed ||= socket.remoteAddress === undefined;
    });
    socket.once('close', () => {
      clearTimeout(timer);
      // Deferred, so that the request on the connection is notified of the end first.
      setImmediate(() => this.destroy());
    });
  }
}

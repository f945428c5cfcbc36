import type { ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import { ManualClock } from '@dandelionlane/core';
import CallerServer from '../lib/CallerServer.js';
import leaveGracefully from '../lib/leaveGracefully.js';

/** Answer to requests that are still running at the end. */
export const LATE_ANSWER = 'late';

const HOST = '127.0.0.1';
const GRACE_MILLISECONDS = 8_000;

/** Period at which the clock of a departure is advanced, in ms, and the step. */
const TICK_MILLISECONDS = 5;
const STEP_MILLISECONDS = 25;

/** What runs one request. Resolves when the request counts as served. */
export type Handler = (outgoing: ServerResponse) => Promise<void>;

/** A connection of a caller, with all that has been received on it. */
export interface CallerConnection {
  readonly socket: Socket;
  /** Sends a request. */
  readonly send: () => void;
  /** Resolves to what had been received when the connection ended. */
  readonly received: Promise<string>;
}

const REQUEST = `POST / HTTP/1.1\r\nhost: ${HOST}\r\ncontent-length: 4\r\n\r\nbody`;

/** What happens while the server leaves. */
interface LeavingEvents {
  /** Called for the last call to the store. */
  readonly deregister?: () => Promise<void>;
  /** Called for the last lines of the log, right before the process ends. */
  readonly flush?: () => Promise<void>;
}

/** A server of callers with real sockets that leaves under a manual clock. */
export default class LeavingServer {
  readonly clock = new ManualClock();

  readonly callers: CallerServer;

  /** Requests that have been read. */
  started = 0;

  #inFlight = 0;

  #port = 0;

  readonly #unanswered = new Set<ServerResponse>();

  readonly #sockets = new Set<Socket>();

  readonly #serverSockets = new Set<Socket>();

  constructor(handler: Handler) {
    const running = () => this.#inFlight;
    this.callers = new CallerServer({
      handle: async (incoming, outgoing) => {
        this.#inFlight += 1;
        this.started += 1;
        this.#serverSockets.add(incoming.socket);
        incoming.resume();
        await new Promise((resolve) => {
          incoming.once('end', resolve);
          incoming.once('close', resolve);
        });
        this.#unanswered.add(outgoing);
        await handler(outgoing);
        this.#unanswered.delete(outgoing);
        this.#inFlight -= 1;
      },
      get inFlight() {
        return running();
      },
      endAll: () => this.#unanswered.forEach((outgoing) => outgoing.end(LATE_ANSWER)),
    }, { table: null });
  }

  async listen(): Promise<void> {
    this.#port = await this.callers.listen({ host: HOST, port: 0 });
  }

  /** Opens a connection. */
  async connect(): Promise<CallerConnection> {
    const socket = connect(this.#port, HOST);
    this.#sockets.add(socket);
    const chunks: Buffer[] = [];
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    const received = new Promise<string>((resolve) => {
      socket.on('error', () => undefined);
      socket.on('close', () => resolve(Buffer.concat(chunks).toString('latin1')));
    });
    await new Promise((resolve) => {
      socket.once('connect', resolve);
    });
    return { socket, send: () => socket.write(REQUEST), received };
  }

  /** Leaves; resolves to the duration on the clock in ms. The process ends, and its connections with it. */
  async leave({ deregister, flush }: LeavingEvents = {}): Promise<number> {
    const ticks = setInterval(() => this.clock.advance(STEP_MILLISECONDS), TICK_MILLISECONDS);
    await leaveGracefully({
      clock: this.clock,
      graceMilliseconds: GRACE_MILLISECONDS,
      callers: this.callers,
      announce: () => Promise.resolve(),
      deregister: () => deregister?.() ?? Promise.resolve(),
    });
    const duration = this.clock.monotonicMilliseconds();
    clearInterval(ticks);
    await flush?.();
    this.#serverSockets.forEach((socket) => socket.resetAndDestroy());
    return duration;
  }

  /** Closes all connections of callers. */
  close(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }
}

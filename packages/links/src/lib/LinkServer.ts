import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import { Packr } from 'msgpackr';
import { WebSocket, WebSocketServer } from 'ws';
import {
  ConnectionLimiter, SERVER_OPTIONS, SystemClock, answerExpectations,
  type Clock, type ConnectionPhase, type TableRow,
} from '@dandelionlane/core';
import type { Log } from '@dandelionlane/telemetry';
import EntryStatus from './EntryStatus.js';
import type FRAME_FORMATS from './FRAME_FORMATS.js';
import type FleetState from './FleetState.js';
import type HolderRedirect from './HolderRedirect.js';
import MAXIMUM_FRAME_BYTES from './MAXIMUM_FRAME_BYTES.js';
import decodeFrame from './decodeFrame.js';
import encodeFrame from './encodeFrame.js';

/** Unsent bytes above which a link counts as dead and is closed. */
const MAXIMUM_BUFFERED_BYTES = 2 * 1_024 * 1_024;

/** Time after which a link without any status is closed, in ms: entries send one every 120 ms. */
const MAXIMUM_MUTE_MILLISECONDS = 10_000;

/** Age from which a link is redirected while another entry holds the lease, in ms: two messages. */
const REDIRECT_AGE_MILLISECONDS = 250;

/** Largest registration that is sent where not all fit, in bytes: more than ten times the usual size. */
const MAXIMUM_REGISTRATION_BYTES = 8 * 1_024;

/** Largest total size of the headers of a request, in bytes: more than callers may send. */
const MAXIMUM_HEADER_BYTES = 72 * 1_024;

/** Value of a row whose own value cannot be sent. */
const UNREADABLE = 'unreadable';

/** Options of a `LinkServer`. */
interface LinkServerOptions {
  readonly host: string;
  readonly port: number;
  readonly log: Log;
  readonly now: () => number;
  /** Serves a request that another entry passes on. */
  readonly onRequest: (incoming: IncomingMessage, outgoing: ServerResponse) => void;
  /** Limit on connections and unfinished requests; none by default. */
  readonly maximumConnections?: number | null;
  readonly clock?: Clock;
  /** Called for each connection that the limit closes or refuses. */
  readonly onClosed?: (phase: ConnectionPhase | 'refused' | 'pipelining') => void;
}

/** Parts of a state that are whole in the first message of a link. */
type Snapshot = Pick<FleetState, 'rows' | 'entries' | 'withdrawn' | 'operators' | 'promptParts' | 'limits'>;

/** State of the link to one entry. */
interface Link {
  readonly socket: WebSocket;
  readonly connectedAt: number;
  status: EntryStatus | null;
  lastMessageAt: number;
  /** Whether all registrations have been sent on the link. */
  isInitialised: boolean;
}

/**
 * Server side of the links, used by the holder. Every entry listens, as any may acquire the lease, and takes
 * requests there that other entries pass on.
 */
export default class LinkServer {
  readonly #options: LinkServerOptions;

  readonly #packr = new Packr({ useRecords: true });

  readonly #http: Server;

  readonly #links = new Set<Link>();

  constructor(options: LinkServerOptions) {
    this.#options = options;
    this.#http = createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: SERVER_OPTIONS.headersTimeout,
      connectionsCheckingInterval: SERVER_OPTIONS.connectionsCheckingInterval,
      // Other entries pass bodies on whole; the handler bounds their pace.
      requestTimeout: 0,
    });
    const limiter = new ConnectionLimiter(this.#http, {
      maximumConnections: options.maximumConnections ?? null,
      clock: options.clock ?? new SystemClock(),
      upgrades: true,
      ...(options.onClosed === undefined ? {} : { onClosed: options.onClosed }),
    });
    answerExpectations(this.#http, () => Number.POSITIVE_INFINITY);
    this.#http.on('request', (incoming, outgoing) => this.#serve(limiter, incoming, outgoing));
    const server = new WebSocketServer({ server: this.#http, maxPayload: MAXIMUM_FRAME_BYTES });
    server.on('connection', (socket) => this.#accept(socket));
    server.on('error', (error) => options.log.error('Link server failed.', { reason: error.message }));
  }

  /** Starts to listen and resolves to the bound port. */
  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.#http.listen(this.#options.port, this.#options.host, () => {
        resolve((this.#http.address() as AddressInfo).port);
      });
    });
  }

  /** Last status of each linked entry, with the time since its arrival in ms. */
  statuses(): readonly { readonly status: EntryStatus; readonly ageMilliseconds: number }[] {
    const now = this.#options.now();
    return [...this.#links].flatMap(({ status, lastMessageAt }) => (
      status === null ? [] : [{ status, ageMilliseconds: now - lastMessageAt }]
    ));
  }

  /**
   * Sends the state on all links. A new link gets a full snapshot instead of the changes.
   * @param createSnapshot Creates the parts of the state that it omits if unchanged. Called at most
   * once, for new links.
   */
  broadcast(state: FleetState, createSnapshot: () => Snapshot): void {
    // Configurations are large and go to all entries at once.
    const frame = this.#encode(state, state.operators.rows.length > 0 ? 'deflated' : 'messagePack');
    let snapshotFrame: Buffer | null = null;
    const now = this.#options.now();
    this.#links.forEach((link) => {
      const isMute = link.status === null && now - link.connectedAt >= MAXIMUM_MUTE_MILLISECONDS;
      if (isMute || link.socket.bufferedAmount > MAXIMUM_BUFFERED_BYTES) {
        link.socket.terminate();
        return;
      }
      if (link.isInitialised) {
        link.socket.send(frame);
        return;
      }
      snapshotFrame ??= this.#encode({ ...state, ...createSnapshot(), whole: true }, 'deflated');
      link.socket.send(snapshotFrame);
      Object.assign(link, { isInitialised: true });
    });
  }

  /** Sends a full snapshot on every link with the next broadcast. */
  scheduleSnapshot(): void {
    this.#links.forEach((link) => Object.assign(link, { isInitialised: false }));
  }

  /**
   * Closes links while another entry holds the lease, except new ones: this entry may just have
   * acquired the lease.
   * @param address Address on which the holder listens for links; null if unknown.
   */
  redirect(address: string | null): void {
    const message: HolderRedirect | null = address === null ? null : { kind: 'redirect', address };
    const now = this.#options.now();
    [...this.#links]
      .filter(({ connectedAt }) => now - connectedAt >= REDIRECT_AGE_MILLISECONDS)
      .forEach((link) => {
        this.#links.delete(link);
        if (message === null) {
          link.socket.terminate();
        } else {
          link.socket.send(encodeFrame(this.#packr, message));
          link.socket.close();
        }
      });
  }

  /** Closes all links; called when the lease is lost. */
  disconnect(): void {
    this.#links.forEach(({ socket }) => socket.terminate());
  }

  close(): void {
    this.disconnect();
    this.#http.close();
  }

  /** Encodes a state. The links need the rest of it even if a row that another writer left cannot be sent. */
  #encode(state: FleetState, format: keyof typeof FRAME_FORMATS): Buffer {
    try {
      return encodeFrame(this.#packr, state, format);
    } catch (error) {
      const rows = state.rows.map((row) => this.#toSendable(row, MAXIMUM_REGISTRATION_BYTES));
      const operatorRows = state.operators.rows.map((row) => this.#toSendable(row, MAXIMUM_FRAME_BYTES));
      this.#options.log.error('Rows cannot be sent.', {
        keys: [...state.rows, ...state.operators.rows]
          .filter((row) => !rows.includes(row) && !operatorRows.includes(row)).map(({ key }) => key).join(' '),
        reason: String(error),
      });
      const sendable = { ...state, rows, operators: { ...state.operators, rows: operatorRows } };
      return encodeFrame(this.#packr, sendable, format);
    }
  }

  /** A row, with a text in place of a value that cannot be sent: its reader rejects that. */
  #toSendable(row: TableRow, maximumBytes: number): TableRow {
    try {
      return this.#packr.pack(row).length <= maximumBytes ? row : { ...row, value: UNREADABLE };
    } catch {
      return { ...row, value: UNREADABLE };
    }
  }

  #serve(limiter: ConnectionLimiter, incoming: IncomingMessage, outgoing: ServerResponse): void {
    const admission = limiter.admit(incoming, outgoing);
    switch (admission) {
      case 'serve':
        this.#options.onRequest(incoming, outgoing);
        break;
      case 'refuse':
        // Without the mark of a refusal of this system: the other entry takes it for a failure that may
        // have run.
        incoming.socket.destroy();
        break;
      case 'drop':
        break;
      default:
        admission satisfies never;
    }
  }

  #accept(socket: WebSocket): void {
    const now = this.#options.now();
    const link: Link = {
      socket, connectedAt: now, status: null, lastMessageAt: now, isInitialised: false,
    };
    this.#links.add(link);
    socket.on('close', () => this.#links.delete(link));
    socket.on('error', (error) => this.#options.log.debug('Link failed.', { reason: error.message }));
    socket.on('message', (frame: Buffer) => this.#receive(link, frame));
  }

  #receive(receiving: Link, frame: Buffer): void {
    const link = receiving;
    const decoded = decodeFrame(EntryStatus, frame);
    if (decoded.isErr()) {
      this.#options.log.warn('Link message is invalid.', { reason: decoded.error.message });
      link.socket.terminate();
      return;
    }
    link.status = decoded.value;
    link.lastMessageAt = this.#options.now();
  }
}

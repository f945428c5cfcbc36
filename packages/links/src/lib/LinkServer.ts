import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Packr } from 'msgpackr';
import { WebSocket, WebSocketServer } from 'ws';
import type { Log } from '@dandelionlane/telemetry';
import EntryStatus from './EntryStatus.js';
import type FleetState from './FleetState.js';
import type HolderRedirect from './HolderRedirect.js';
import MAXIMUM_FRAME_BYTES from './MAXIMUM_FRAME_BYTES.js';
import decodeFrame from './decodeFrame.js';
import encodeFrame from './encodeFrame.js';

/** Unsent bytes at which a link is taken to be dead. */
const MAXIMUM_BUFFERED_BYTES = 2 * 1_024 * 1_024;

/** Age from which a link is told that another entry holds the lease, in ms: two messages. */
const SETTLING_MILLISECONDS = 250;

/** What a `LinkServer` needs from outside. */
interface LinkServerOptions {
  readonly host: string;
  readonly port: number;
  readonly log: Log;
  readonly now: () => number;
}

/** A link with the entry at its other end. */
interface Link {
  readonly socket: WebSocket;
  readonly attachedAt: number;
  status: EntryStatus | null;
  heardAt: number;
  /** Whether it has been sent all registrations. */
  isInitialised: boolean;
}

/** The holder's ends of the links. Each entry listens, as each may come to hold the lease. */
export default class LinkServer {
  readonly #options: LinkServerOptions;

  readonly #packr = new Packr({ useRecords: true });

  readonly #http: Server = createServer();

  readonly #links = new Set<Link>();

  constructor(options: LinkServerOptions) {
    this.#options = options;
    const server = new WebSocketServer({ server: this.#http, maxPayload: MAXIMUM_FRAME_BYTES });
    server.on('connection', (socket) => this.#attach(socket));
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

  /** Last status of each linked entry, with the time since it came in ms. */
  statuses(): readonly { readonly status: EntryStatus; readonly ageMilliseconds: number }[] {
    const now = this.#options.now();
    return [...this.#links].flatMap(({ status, heardAt }) => (
      status === null ? [] : [{ status, ageMilliseconds: now - heardAt }]
    ));
  }

  /**
   * Sends the state to all links. A new link gets all of it in place of the changes.
   * @param unchanged What the state leaves out as unchanged. Called once at most, for new links.
   */
  broadcast(state: FleetState, unchanged: () => Pick<FleetState, 'rows' | 'entries' | 'withdrawn'>): void {
    const frame = encodeFrame(this.#packr, state);
    let wholeFrame: Buffer | null = null;
    this.#links.forEach((link) => {
      if (link.socket.bufferedAmount > MAXIMUM_BUFFERED_BYTES) {
        link.socket.terminate();
        return;
      }
      if (link.isInitialised) {
        link.socket.send(frame);
        return;
      }
      wholeFrame ??= encodeFrame(this.#packr, { ...state, ...unchanged(), whole: true }, 'deflated');
      link.socket.send(wholeFrame);
      Object.assign(link, { isInitialised: true });
    });
  }

  /** Each link gets all of the state with the next message. */
  scheduleSnapshot(): void {
    this.#links.forEach((link) => Object.assign(link, { isInitialised: false }));
  }

  /**
   * Ends links while another entry holds the lease, but for new ones: this one may just have
   * acquired it.
   * @param address Where that entry listens for links, or null where it is not known.
   */
  redirect(address: string | null): void {
    const message: HolderRedirect | null = address === null ? null : { kind: 'redirect', address };
    const now = this.#options.now();
    [...this.#links].filter(({ attachedAt }) => now - attachedAt >= SETTLING_MILLISECONDS).forEach((link) => {
      this.#links.delete(link);
      if (message === null) {
        link.socket.terminate();
      } else {
        link.socket.send(encodeFrame(this.#packr, message));
        link.socket.close();
      }
    });
  }

  /** Ends all links, when the lease is lost. */
  disconnect(): void {
    this.#links.forEach(({ socket }) => socket.terminate());
  }

  close(): void {
    this.disconnect();
    this.#http.close();
  }

  #attach(socket: WebSocket): void {
    const now = this.#options.now();
    const link: Link = {
      socket, attachedAt: now, status: null, heardAt: now, isInitialised: false,
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
    link.heardAt = this.#options.now();
  }
}

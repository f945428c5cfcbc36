import { Packr } from 'msgpackr';
import { WebSocket } from 'ws';
import type { Log } from '@dandelionlane/telemetry';
import type EntryStatus from './EntryStatus.js';
import type FleetState from './FleetState.js';
import HolderMessage from './HolderMessage.js';
import MAXIMUM_FRAME_BYTES from './MAXIMUM_FRAME_BYTES.js';
import decodeFrame from './decodeFrame.js';
import encodeFrame from './encodeFrame.js';

/** Timeout for establishing a link, in ms. */
const HANDSHAKE_TIMEOUT_MILLISECONDS = 500;

/** Silence after which a link is closed, in ms. The holder sends several messages a second. */
const SILENCE_TIMEOUT_MILLISECONDS = 700;

/**
 * Timeout for the first message of a link, in ms. It contains all registrations, and after a change
 * of the holder it is sent to all entries at once.
 */
const FIRST_MESSAGE_TIMEOUT_MILLISECONDS = 2_000;

/** Shortest time between two connection attempts, in ms. */
const RETRY_DELAY_MILLISECONDS = 400;

/** Options of a `LinkClient`. */
interface LinkClientOptions {
  readonly log: Log;
  readonly onState: (state: FleetState) => void;
  /** Called with the address of the holder of the lease if the peer reports that another entry holds it. */
  readonly onRedirect: (address: string) => void;
  /** Called when an established link has ended. */
  readonly onLost: () => void;
  readonly now: () => number;
}

/** Client side of the link between an entry and the holder of the lease. */
export default class LinkClient {
  readonly #options: LinkClientOptions;

  readonly #packr = new Packr({ useRecords: true });

  #address: string | null = null;

  #socket: WebSocket | null = null;

  #lastMessageAt = Number.NEGATIVE_INFINITY;

  #lastAttemptAt = Number.NEGATIVE_INFINITY;

  #isEstablished = false;

  constructor(options: LinkClientOptions) {
    this.#options = options;
  }

  /** Whether a message of the holder has arrived within the silence timeout. */
  get isHealthy(): boolean {
    return this.#isEstablished && this.#options.now() - this.#lastMessageAt < SILENCE_TIMEOUT_MILLISECONDS;
  }

  /** Whether there is no connection, not even a pending one. */
  get isIdle(): boolean {
    return this.#socket === null;
  }

  /** Time since the last message of the holder, in ms; infinite without an established link. */
  get ageMilliseconds(): number {
    return this.#isEstablished ? this.#options.now() - this.#lastMessageAt : Number.POSITIVE_INFINITY;
  }

  /**
   * Keeps a link to an address, or none for null. Has to be called regularly, as it also closes silent
   * links.
   */
  maintain(address: string | null): void {
    const now = this.#options.now();
    const isSilent = this.#isEstablished
      ? now - this.#lastMessageAt >= SILENCE_TIMEOUT_MILLISECONDS
      : now - this.#lastAttemptAt >= FIRST_MESSAGE_TIMEOUT_MILLISECONDS;
    if (this.#socket !== null && (address !== this.#address || isSilent)) {
      this.#disconnect(address === this.#address ? 'silent' : 'another holder');
    }
    if (address !== null && this.#socket === null && now - this.#lastAttemptAt >= RETRY_DELAY_MILLISECONDS) {
      this.#connect(address, now);
    }
  }

  send(status: EntryStatus): void {
    if (this.#socket?.readyState === WebSocket.OPEN) {
      this.#socket.send(encodeFrame(this.#packr, status));
    }
  }

  close(): void {
    this.#disconnect('closing');
  }

  #connect(address: string, now: number): void {
    this.#address = address;
    this.#lastAttemptAt = now;
    const socket = this.#open(address);
    this.#socket = socket;
    if (socket === null) {
      return;
    }
    socket.on('message', (frame: Buffer) => {
      if (socket === this.#socket) {
        this.#receive(frame);
      }
    });
    socket.on('error', (error) => this.#options.log.debug('Link failed.', { address, reason: error.message }));
    socket.on('close', () => {
      if (socket === this.#socket) {
        this.#disconnect('closed');
      }
    });
  }

  /** Opens a connection; null for an address that the client rejects. */
  #open(address: string): WebSocket | null {
    try {
      return new WebSocket(`ws://${address}`, {
        handshakeTimeout: HANDSHAKE_TIMEOUT_MILLISECONDS,
        maxPayload: MAXIMUM_FRAME_BYTES,
        perMessageDeflate: false,
      });
    } catch (error) {
      this.#options.log.debug('Link failed.', { address, reason: String(error) });
      return null;
    }
  }

  #receive(frame: Buffer): void {
    const decoded = decodeFrame(HolderMessage, frame);
    if (decoded.isErr()) {
      this.#options.log.warn('Link message is invalid.', { reason: decoded.error.message });
      this.#disconnect('invalid message');
      return;
    }
    const message = decoded.value;
    switch (message.kind) {
      case 'redirect':
        this.#disconnect('redirected');
        this.#options.onRedirect(message.address);
        break;
      case 'state':
        this.#receiveState(message);
        break;
      default:
        message satisfies never;
    }
  }

  #receiveState(state: FleetState): void {
    this.#lastMessageAt = this.#options.now();
    if (!this.#isEstablished) {
      this.#isEstablished = true;
      this.#options.log.info('Linked to the holder.', { holder: state.holder });
    }
    try {
      this.#options.onState(state);
    } catch (error) {
      // Rows may be missing now; the first state of the next link has all of them.
      this.#options.log.error('State of the holder was not applied.', { reason: String(error) });
      this.#disconnect('state not applied');
    }
  }

  #disconnect(reason: string): void {
    const socket = this.#socket;
    this.#socket = null;
    socket?.terminate();
    if (this.#isEstablished) {
      this.#isEstablished = false;
      this.#options.log.info('Link to the holder ended.', { reason });
      this.#options.onLost();
    }
  }
}

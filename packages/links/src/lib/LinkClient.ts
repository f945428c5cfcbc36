import { Packr } from 'msgpackr';
import { WebSocket } from 'ws';
import type { Log } from '@dandelionlane/telemetry';
import type EntryStatus from './EntryStatus.js';
import type FleetState from './FleetState.js';
import HolderMessage from './HolderMessage.js';
import MAXIMUM_FRAME_BYTES from './MAXIMUM_FRAME_BYTES.js';
import decodeFrame from './decodeFrame.js';
import encodeFrame from './encodeFrame.js';

/** Time to establish a link, in ms. */
const HANDSHAKE_TIMEOUT_MILLISECONDS = 500;

/** Silence after which a link is given up, in ms: the holder speaks several times a second. */
const SILENCE_MILLISECONDS = 700;

/**
 * Time for the first message of a link, in ms: it holds all registrations, and after a change of
 * the holder goes to all entries at once.
 */
const FIRST_MESSAGE_MILLISECONDS = 2_000;

/** Pause before a link is tried again, in ms. */
const RETRY_MILLISECONDS = 400;

/** What a `LinkClient` needs from outside. */
interface LinkClientOptions {
  readonly log: Log;
  readonly onState: (state: FleetState) => void;
  /** Called with the address of another entry that holds the lease, as the one at the other end says. */
  readonly onRedirect: (address: string) => void;
  /** Called when a link that worked has ended. */
  readonly onLost: () => void;
  readonly now: () => number;
}

/** An entry's end of the link to the holder of the lease. */
export default class LinkClient {
  readonly #options: LinkClientOptions;

  readonly #packr = new Packr({ useRecords: true });

  #address: string | null = null;

  #socket: WebSocket | null = null;

  #heardAt = Number.NEGATIVE_INFINITY;

  #triedAt = Number.NEGATIVE_INFINITY;

  #working = false;

  constructor(options: LinkClientOptions) {
    this.#options = options;
  }

  /** Whether the holder spoke a moment ago. */
  get isHealthy(): boolean {
    return this.#working && this.#options.now() - this.#heardAt < SILENCE_MILLISECONDS;
  }

  /** Whether there is no connection, not even one that is being made. */
  get isIdle(): boolean {
    return this.#socket === null;
  }

  /** Time since the holder last spoke, in ms; infinite without a link. */
  get ageMilliseconds(): number {
    return this.#working ? this.#options.now() - this.#heardAt : Number.POSITIVE_INFINITY;
  }

  /** Keeps a link to an address, or none. Called regularly: it also ends links that fell silent. */
  maintain(address: string | null): void {
    const now = this.#options.now();
    const isSilent = this.#working
      ? now - this.#heardAt >= SILENCE_MILLISECONDS : now - this.#triedAt >= FIRST_MESSAGE_MILLISECONDS;
    if (this.#socket !== null && (address !== this.#address || isSilent)) {
      this.#end(address === this.#address ? 'silent' : 'another holder');
    }
    if (address !== null && this.#socket === null && now - this.#triedAt >= RETRY_MILLISECONDS) {
      this.#connect(address, now);
    }
  }

  send(status: EntryStatus): void {
    if (this.#socket?.readyState === WebSocket.OPEN) {
      this.#socket.send(encodeFrame(this.#packr, status));
    }
  }

  close(): void {
    this.#end('closing');
  }

  #connect(address: string, now: number): void {
    this.#address = address;
    this.#triedAt = now;
    const socket = new WebSocket(`ws://${address}`, {
      handshakeTimeout: HANDSHAKE_TIMEOUT_MILLISECONDS,
      maxPayload: MAXIMUM_FRAME_BYTES,
      perMessageDeflate: false,
    });
    this.#socket = socket;
    socket.on('message', (frame: Buffer) => {
      if (socket === this.#socket) {
        this.#receive(frame);
      }
    });
    socket.on('error', (error) => this.#options.log.debug('Link failed.', { address, reason: error.message }));
    socket.on('close', () => {
      if (socket === this.#socket) {
        this.#end('closed');
      }
    });
  }

  #receive(frame: Buffer): void {
    const decoded = decodeFrame(HolderMessage, frame);
    if (decoded.isErr()) {
      this.#options.log.warn('Link message is invalid.', { reason: decoded.error.message });
      this.#end('invalid message');
      return;
    }
    const message = decoded.value;
    switch (message.kind) {
      case 'redirect':
        this.#end('redirected');
        this.#options.onRedirect(message.address);
        break;
      case 'state':
        this.#heard(message);
        break;
      default:
        message satisfies never;
    }
  }

  #heard(state: FleetState): void {
    this.#heardAt = this.#options.now();
    if (!this.#working) {
      this.#working = true;
      this.#options.log.info('Linked to the holder.', { holder: state.holder });
    }
    this.#options.onState(state);
  }

  #end(reason: string): void {
    const socket = this.#socket;
    this.#socket = null;
    socket?.terminate();
    if (this.#working) {
      this.#working = false;
      this.#options.log.info('Link to the holder ended.', { reason });
      this.#options.onLost();
    }
  }
}

import { pack, unpack } from 'msgpackr';
import PeerMessage from '../lib/messages/PeerMessage.js';

/** Counts messages, bytes and codec time at sampled addresses, with the codec of the real links. */
export default class WireMeter {
  messages = 0;

  bytes = 0;

  codecMilliseconds = 0;

  readonly #sampled: ReadonlySet<string>;

  #isRunning = false;

  constructor(sampled: ReadonlySet<string>) {
    this.#sampled = sampled;
  }

  start(): void {
    this.#isRunning = true;
    this.messages = 0;
    this.bytes = 0;
    this.codecMilliseconds = 0;
  }

  /** Encodes and decodes a message and counts each for its sampled end; passes other messages through. */
  transfer(from: string, to: string, message: PeerMessage): PeerMessage {
    const isSent = this.#sampled.has(from);
    const isReceived = this.#sampled.has(to);
    if (!this.#isRunning || (!isSent && !isReceived)) {
      return message;
    }
    const startedAt = performance.now();
    const encoded = pack(message);
    const encodedAt = performance.now();
    const decoded = PeerMessage.parse(unpack(encoded));
    const decodedAt = performance.now();
    this.#count(isSent, encoded.length, encodedAt - startedAt);
    this.#count(isReceived, encoded.length, decodedAt - encodedAt);
    return decoded;
  }

  #count(isSampled: boolean, bytes: number, milliseconds: number): void {
    if (isSampled) {
      this.messages += 1;
      this.bytes += bytes;
      this.codecMilliseconds += milliseconds;
    }
  }
}

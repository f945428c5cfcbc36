import type { Readable } from 'node:stream';
import type { ServerResponse } from 'node:http';
import classifyChatEvent from './classifyChatEvent.js';
import EventSplitter from './EventSplitter.js';
import type StreamEnd from './StreamEnd.js';
import waitForDrain from './waitForDrain.js';

const STOPPED: StreamEnd = { kind: 'stopped' };

/** What a `StreamRelay` needs from outside. */
interface StreamRelayOptions {
  readonly outgoing: ServerResponse;
  /** Longest wait for a caller that does not read, in milliseconds. */
  readonly slowCallerTimeoutMilliseconds: number;
  /** Writes the head of the answer, once, before its first byte. */
  readonly writeHead: () => void;
  /** Called with each token that goes to the caller. */
  readonly tokenRelayed: () => void;
}

/**
 * Relays a chat stream to its caller over one or more attempts.
 *
 * Invariants: tokens go out in order without gap or repeat; the events that end the
 * answer are held back until `finish`, so that a replica can be checked before.
 */
export default class StreamRelay {
  readonly #options: StreamRelayOptions;

  #deliveredTokens = 0;

  #ending: Buffer[] = [];

  constructor(options: StreamRelayOptions) {
    this.#options = options;
  }

  get deliveredTokens(): number {
    return this.#deliveredTokens;
  }

  /**
   * Relays one attempt until its stream ends. `mayGoOn` is asked before each write.
   * Listens to the stream's events: an async iterator costs several promises a token.
   */
  relay(body: Readable, mayGoOn: () => boolean): Promise<StreamEnd> {
    const splitter = new EventSplitter();
    this.#ending = [];
    return new Promise((resolve) => {
      body.on('data', (chunk: Buffer) => {
        const end = mayGoOn() ? this.#takeChunk(splitter, chunk) : STOPPED;
        if (end !== null) {
          body.pause();
          body.removeAllListeners('data');
          resolve(end);
        } else if (this.#options.outgoing.writableNeedDrain) {
          body.pause();
          void this.#resumeWhenDrained(body, resolve);
        }
      });
      body.once('error', (cause) => resolve({ kind: 'broken', cause }));
      body.once('end', () => resolve({ kind: 'broken', cause: new Error('stream ended before its last event') }));
      body.once('close', () => resolve({ kind: 'broken', cause: new Error('stream was closed') }));
    });
  }

  async #resumeWhenDrained(body: Readable, resolve: (end: StreamEnd) => void): Promise<void> {
    const { outgoing, slowCallerTimeoutMilliseconds } = this.#options;
    if (await waitForDrain(outgoing, slowCallerTimeoutMilliseconds)) {
      body.resume();
    } else {
      resolve({ kind: 'caller-gone' });
    }
  }

  #takeChunk(splitter: EventSplitter, chunk: Buffer): StreamEnd | null {
    if (this.#options.outgoing.destroyed) {
      return { kind: 'caller-gone' };
    }
    try {
      return this.#takeEvents(splitter.push(chunk));
    } catch (cause) {
      return { kind: 'broken', cause };
    }
  }

  /** Sends the held-back end of the answer. */
  finish(): void {
    this.#options.writeHead();
    this.#options.outgoing.end(Buffer.concat(this.#ending));
  }

  /** Sends tokens on; returns how the stream ended, if it did. */
  #takeEvents(events: readonly Buffer[]): StreamEnd | null {
    const accepted: Buffer[] = [];
    let end: StreamEnd | null = null;
    for (const event of events) {
      end = this.#takeEvent(event, accepted);
      if (end !== null) {
        break;
      }
    }
    if (accepted.length > 0) {
      this.#options.writeHead();
      this.#options.outgoing.write(accepted.length === 1 ? accepted[0] : Buffer.concat(accepted));
    }
    return end;
  }

  #takeEvent(event: Buffer, accepted: Buffer[]): StreamEnd | null {
    const chatEvent = classifyChatEvent(event);
    switch (chatEvent.kind) {
      case 'token':
        return this.#takeToken(event, chatEvent.index, accepted);
      case 'finish':
        // A repeated event changes nothing.
        this.#ending = [event];
        return null;
      case 'done':
        this.#ending.push(event);
        return { kind: 'completed' };
      case 'other':
        accepted.push(event);
        return null;
      default:
        return chatEvent satisfies never;
    }
  }

  #takeToken(event: Buffer, index: number | null, accepted: Buffer[]): StreamEnd | null {
    if (index !== null && index < this.#deliveredTokens) {
      return null;
    }
    if (index !== null && index > this.#deliveredTokens) {
      return { kind: 'broken', cause: new Error(`token ${this.#deliveredTokens} is missing`) };
    }
    this.#deliveredTokens += 1;
    this.#options.tokenRelayed();
    accepted.push(event);
    return null;
  }
}

import type { Readable } from 'node:stream';
import type { ServerResponse } from 'node:http';
import classifyChatEvent from './classifyChatEvent.js';
import EventSplitter from './EventSplitter.js';
import HeldEvents from './HeldEvents.js';
import type StreamEnd from './StreamEnd.js';
import waitForDrain from './waitForDrain.js';

/** Bytes held back at which the relay reads no more until they are confirmed. */
const MAXIMUM_HELD_BYTES = 256 * 1_024;

/** Period at which the replica of a silent stream is looked at. */
const WATCH_PERIOD_MILLISECONDS = 500;

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
 * Invariants: tokens go out in order without gap or repeat, and only after the replica
 * was seen whole since they came; the events that end the answer are held back until
 * `finish`, so that a replica can be checked before.
 */
export default class StreamRelay {
  readonly #options: StreamRelayOptions;

  /** Tokens that went to the caller. */
  #deliveredTokens = 0;

  /** Tokens that have come, those held back included. */
  #receivedTokens = 0;

  #held: HeldEvents | null = null;

  #ending: Buffer[] = [];

  constructor(options: StreamRelayOptions) {
    this.#options = options;
  }

  get deliveredTokens(): number {
    return this.#deliveredTokens;
  }

  /**
   * Relays one attempt until its stream ends. `confirm` tells whether the replica is
   * still whole, by sightings made after the call; what came before it then goes out.
   */
  async relay(body: Readable, confirm: () => Promise<boolean>): Promise<StreamEnd> {
    let isStopped = false;
    this.#ending = [];
    this.#receivedTokens = this.#deliveredTokens;
    const held = new HeldEvents({
      confirm,
      write: (bytes, tokens) => this.#write(bytes, tokens),
      refused: () => {
        isStopped = true;
        body.destroy();
      },
    });
    this.#held = held;
    const watch = setInterval(() => held.confirm(), WATCH_PERIOD_MILLISECONDS);
    try {
      return await this.#readEvents(body, held);
    } catch (cause) {
      return isStopped ? { kind: 'stopped' } : { kind: 'broken', cause };
    } finally {
      clearInterval(watch);
      held.close();
    }
  }

  /** Sends what is still held back, the end of the answer last. */
  finish(): void {
    this.#held?.flush();
    this.#options.writeHead();
    this.#options.outgoing.end(Buffer.concat(this.#ending));
  }

  async #readEvents(body: Readable, held: HeldEvents): Promise<StreamEnd> {
    const splitter = new EventSplitter();
    for await (const chunk of body) {
      for (const event of splitter.push(chunk as Buffer)) {
        const end = this.#takeEvent(event, held);
        if (end !== null) {
          return end;
        }
      }
      held.release();
      if (held.bytes > MAXIMUM_HELD_BYTES) {
        await held.settled();
      }
      if (!(await waitForDrain(this.#options.outgoing, this.#options.slowCallerTimeoutMilliseconds))) {
        return { kind: 'caller-gone' };
      }
    }
    throw new Error('stream ended before its last event');
  }

  #write(bytes: Buffer, tokens: number): void {
    this.#options.writeHead();
    this.#options.outgoing.write(bytes);
    this.#deliveredTokens += tokens;
    for (let token = 0; token < tokens; token += 1) {
      this.#options.tokenRelayed();
    }
  }

  #takeEvent(event: Buffer, held: HeldEvents): StreamEnd | null {
    const chatEvent = classifyChatEvent(event);
    switch (chatEvent.kind) {
      case 'token':
        return this.#takeToken(event, chatEvent.index, held);
      case 'finish':
        // A repeated event changes nothing.
        this.#ending = [event];
        return null;
      case 'done':
        this.#ending.push(event);
        return { kind: 'completed' };
      case 'other':
        held.add(event, false);
        return null;
      default:
        return chatEvent satisfies never;
    }
  }

  #takeToken(event: Buffer, index: number | null, held: HeldEvents): StreamEnd | null {
    if (index !== null && index < this.#receivedTokens) {
      return null;
    }
    if (index !== null && index > this.#receivedTokens) {
      return { kind: 'broken', cause: new Error(`token ${this.#receivedTokens} is missing`) };
    }
    this.#receivedTokens += 1;
    held.add(event, true);
    return null;
  }
}

import type { Readable } from 'node:stream';
import type { ServerResponse } from 'node:http';
import { EventSplitter } from '@dandelionlane/core';
import classifyChatEvent from './classifyChatEvent.js';
import EventBuffer from './EventBuffer.js';
import type StreamEnd from './StreamEnd.js';
import waitForDrain from './waitForDrain.js';

/** The relay stops reading the stream while more unconfirmed bytes than this are buffered. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1_024;

const STOPPED: StreamEnd = { kind: 'stopped' };

/** Dependencies and settings of a `StreamRelay`. */
interface StreamRelayOptions {
  readonly outgoing: ServerResponse;
  /** Timeout for a caller that does not read its answer. */
  readonly slowCallerTimeoutMilliseconds: number;
  /** Writes the head of the answer. Called before each write, so it must ignore repeated calls. */
  readonly writeHead: () => void;
  /** Called for each token that is sent to the caller. */
  readonly onTokenRelayed: () => void;
}

/**
 * Relays a chat stream to its caller over one or more attempts.
 *
 * Invariants: tokens are sent in order without gaps or repeats, each only after the replica
 * was confirmed to be whole since its arrival; the events that end the answer are held back
 * until `finish`, so that the replica can be checked first.
 */
export default class StreamRelay {
  readonly #options: StreamRelayOptions;

  /** Tokens that were sent to the caller. */
  #deliveredTokens = 0;

  /** Tokens that were received, including buffered ones. */
  #receivedTokens = 0;

  #buffer: EventBuffer | null = null;

  #finalEvents: Buffer[] = [];

  constructor(options: StreamRelayOptions) {
    this.#options = options;
  }

  get deliveredTokens(): number {
    return this.#deliveredTokens;
  }

  /**
   * Relays one attempt until its stream ends. `confirm` checks that the replica is still
   * whole by reports made after the call; events that arrived before the call are then sent.
   * If `confirm` is null, events are sent as they arrive.
   * Uses event listeners, because an async iterator costs several promises per token.
   */
  relay(body: Readable, confirm: (() => Promise<boolean>) | null): Promise<StreamEnd> {
    const splitter = new EventSplitter();
    this.#finalEvents = [];
    this.#receivedTokens = this.#deliveredTokens;
    return new Promise<StreamEnd>((resolve) => {
      const buffer = this.#createBuffer(confirm, () => resolve(STOPPED));
      body.on('data', (chunk: Buffer) => {
        const end = this.#processChunk(splitter, chunk, buffer);
        if (end !== null) {
          resolve(end);
          return;
        }
        buffer.startConfirmation();
        if (this.#options.outgoing.writableNeedDrain || buffer.bytes > MAXIMUM_BUFFERED_BYTES) {
          body.pause();
          void this.#resumeWhenDrained(body, buffer, resolve);
        }
      });
      body.once('error', (cause) => resolve({ kind: 'broken', cause }));
      body.once('end', () => resolve({ kind: 'broken', cause: new Error('stream ended before its last event') }));
      body.once('close', () => resolve({ kind: 'broken', cause: new Error('stream was closed') }));
    }).then((end) => {
      this.#buffer?.close();
      body.pause();
      body.removeAllListeners('data');
      return end;
    });
  }

  /** Sends the buffered events, then the events that end the answer. */
  finish(): void {
    this.#buffer?.flush();
    this.#options.writeHead();
    this.#options.outgoing.end(Buffer.concat(this.#finalEvents));
  }

  #createBuffer(confirm: (() => Promise<boolean>) | null, onReplicaLost: () => void): EventBuffer {
    this.#buffer = new EventBuffer({
      confirm, onReplicaLost, write: (bytes, tokens) => this.#write(bytes, tokens),
    });
    return this.#buffer;
  }

  async #resumeWhenDrained(
    body: Readable,
    buffer: EventBuffer,
    resolve: (end: StreamEnd) => void,
  ): Promise<void> {
    const { outgoing, slowCallerTimeoutMilliseconds } = this.#options;
    await buffer.waitForConfirmation();
    if (await waitForDrain(outgoing, slowCallerTimeoutMilliseconds)) {
      body.resume();
    } else {
      resolve({ kind: 'caller-gone' });
    }
  }

  #processChunk(splitter: EventSplitter, chunk: Buffer, buffer: EventBuffer): StreamEnd | null {
    if (this.#options.outgoing.destroyed) {
      return { kind: 'caller-gone' };
    }
    try {
      for (const event of splitter.push(chunk)) {
        const end = this.#processEvent(event, buffer);
        if (end !== null) {
          return end;
        }
      }
      return null;
    } catch (cause) {
      return { kind: 'broken', cause };
    }
  }

  #write(bytes: Buffer, tokens: number): void {
    this.#options.writeHead();
    this.#options.outgoing.write(bytes);
    this.#deliveredTokens += tokens;
    for (let token = 0; token < tokens; token += 1) {
      this.#options.onTokenRelayed();
    }
  }

  #processEvent(event: Buffer, buffer: EventBuffer): StreamEnd | null {
    const chatEvent = classifyChatEvent(event);
    switch (chatEvent.kind) {
      case 'token':
        return this.#processToken(event, chatEvent.index, buffer);
      case 'finish':
        // Replaces an earlier one, so a repeated finish event has no effect.
        this.#finalEvents = [event];
        return null;
      case 'done':
        this.#finalEvents.push(event);
        return { kind: 'completed' };
      case 'other':
        buffer.add(event, false);
        return null;
      default:
        return chatEvent satisfies never;
    }
  }

  #processToken(event: Buffer, index: number | null, buffer: EventBuffer): StreamEnd | null {
    if (index !== null && index < this.#receivedTokens) {
      return null;
    }
    if (index !== null && index > this.#receivedTokens) {
      return { kind: 'broken', cause: new Error(`token ${this.#receivedTokens} is missing`) };
    }
    this.#receivedTokens += 1;
    buffer.add(event, true);
    return null;
  }
}

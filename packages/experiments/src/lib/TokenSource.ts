import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import { z } from 'zod';
import {
  HEADERS, type ReplicaId, type ServiceId, type VMReport,
} from '@dandelionlane/core';
import TokenStream from './TokenStream.js';

const TICK_MILLISECONDS = 1;
/** Streams that write together, as one engine's batch does. */
const BATCH_STREAMS = 32;
const MILLISECONDS_PER_SECOND = 1_000;
const STATUS_OK = 200;

const Body = z.object({ tokens: z.number().int().positive() });

/** What a `TokenSource` plays. */
interface TokenSourceOptions {
  readonly vm: string;
  readonly replica: string;
  readonly service: string;
  readonly tokensPerSecond: number;
}

/**
 * A target that streams tokens at a fixed rate and costs as little as it can. Each
 * token tells its time of send. Streams write in batches, as engines do, and the
 * batches are spread over the time between two tokens.
 */
export default class TokenSource {
  readonly #options: TokenSourceOptions;

  readonly #server: Server;

  readonly #streams = new Set<TokenStream>();

  readonly #timer: NodeJS.Timeout;

  #reports = 0;

  #opened = 0;

  constructor(options: TokenSourceOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => this.#answer(request, response));
    this.#timer = setInterval(() => this.#tick(), TICK_MILLISECONDS);
  }

  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => resolve((this.#server.address() as AddressInfo).port));
    });
  }

  close(): void {
    clearInterval(this.#timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #answer(request: IncomingMessage, response: ServerResponse): void {
    if (request.url === '/v1/report') {
      response.writeHead(STATUS_OK, { 'content-type': 'application/json' });
      response.end(JSON.stringify(this.#report()));
      return;
    }
    let text = '';
    request.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    request.on('end', () => this.#open(Body.parse(JSON.parse(text)).tokens, request, response));
  }

  #open(total: number, request: IncomingMessage, response: ServerResponse): void {
    response.writeHead(STATUS_OK, {
      'content-type': 'text/event-stream',
      [HEADERS.requestId]: String(request.headers[HEADERS.requestId] ?? ''),
    });
    this.#opened += 1;
    const periodMilliseconds = MILLISECONDS_PER_SECOND / this.#options.tokensPerSecond;
    const batch = Math.floor(this.#opened / BATCH_STREAMS);
    const stream = new TokenStream(response, total, periodMilliseconds, batch);
    this.#streams.add(stream);
    response.on('close', () => this.#streams.delete(stream));
  }

  #tick(): void {
    const now = performance.now();
    this.#streams.forEach((stream) => {
      if (stream.write(now)) {
        this.#streams.delete(stream);
      }
    });
  }

  #report(): VMReport {
    this.#reports += 1;
    return {
      vm: this.#options.vm as VMReport['vm'],
      incarnation: 1 as VMReport['incarnation'],
      sequence: this.#reports,
      phase: 'warm',
      replica: this.#options.replica as ReplicaId,
      service: this.#options.service as ServiceId,
      version: '1',
      fencing: 1 as VMReport['fencing'],
      leaving: false,
      runningRequests: this.#streams.size,
      waitingRequests: 0,
      outstandingTokens: 0,
    };
  }
}

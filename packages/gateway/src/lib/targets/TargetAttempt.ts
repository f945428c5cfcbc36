import type { Dispatcher } from 'undici';
import { MAXIMUM_INTERIM_HEADS, type WorkerId } from '@dandelionlane/core';
import type AttemptListener from './AttemptListener.js';
import type TargetConnection from './TargetConnection.js';
import type TargetConnections from './TargetConnections.js';

/** Lowest status that is not one of an interim head. */
const FIRST_FINAL_STATUS = 200;

/** One request to a target. */
interface AttemptRequest {
  readonly worker: WorkerId;
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer;
  /** Uses a new connection for this request only: a reused one may close while the request is in transit. */
  readonly usesNewConnection: boolean;
}

function describe(error: unknown): string {
  if (!(error instanceof Error)) {
    return String(error);
  }
  const { code } = error as { code?: unknown };
  return typeof code === 'string' ? code : error.message;
}

/** Sends one request to one target and passes the answer to a listener. */
export default class TargetAttempt {
  readonly #connections: TargetConnections;

  #connection: TargetConnection | null = null;

  readonly #request: AttemptRequest;

  readonly #listener: AttemptListener;

  #controller: Dispatcher.DispatchController | null = null;

  #isStarting = false;

  #sent = false;

  #hasEnded = false;

  #framed = true;

  /** Whether the target closes the connection after this answer. */
  #isLast = false;

  #interimHeads = 0;

  constructor(connections: TargetConnections, request: AttemptRequest, listener: AttemptListener) {
    this.#connections = connections;
    this.#request = request;
    this.#listener = listener;
  }

  /** Whether any byte of the request may have been sent. */
  get sent(): boolean {
    return this.#sent;
  }

  /** Sends the request. The listener is called later, even if the client rejects the request at once. */
  start(): void {
    this.#isStarting = true;
    try {
      this.#send();
    } catch (error) {
      this.#handleError(error);
    }
    this.#isStarting = false;
  }

  /** Abandons the attempt: the listener is not called any more, and the connection is closed. */
  abandon(): void {
    if (!this.#hasEnded) {
      this.#hasEnded = true;
      this.#connection?.destroy();
    }
  }

  /** Stops reading until `resume`, for a caller that does not keep up. */
  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  #send(): void {
    const {
      worker, address, method, path, headers, body, usesNewConnection,
    } = this.#request;
    const connection = this.#connections.acquire(worker, address, usesNewConnection);
    this.#connection = connection;
    connection.client.dispatch({
      method,
      path,
      headers,
      body: body.length === 0 ? null : body,
      reset: usesNewConnection,
    }, {
      onRequestStart: (controller) => this.#handleStart(controller),
      onResponseStart: (_controller, status, answerHeaders) => this.#handleHead(status, answerHeaders),
      onResponseData: (_controller, chunk) => this.#handleData(chunk),
      onResponseEnd: () => this.#handleEnd(connection),
      onResponseError: (_controller, error) => this.#handleError(error),
    });
  }

  #handleStart(controller: Dispatcher.DispatchController): void {
    if (this.#hasEnded) {
      controller.abort(new Error('attempt was abandoned'));
      return;
    }
    this.#controller = controller;
    this.#sent = true;
  }

  #handleHead(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void {
    if (this.#hasEnded) {
      return;
    }
    if (status < FIRST_FINAL_STATUS) {
      this.#countInterimHead();
    } else {
      this.#framed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
      this.#isLast = String(headers.connection ?? '').toLowerCase().includes('close');
      this.#listener.head(status, headers);
    }
  }

  /** A faulty target may send them without an end; reading on would take all of the processor. */
  #countInterimHead(): void {
    this.#interimHeads += 1;
    if (this.#interimHeads > MAXIMUM_INTERIM_HEADS) {
      this.#controller?.abort(new Error('too many interim heads'));
      this.#fail('too many interim heads');
    }
  }

  #handleData(chunk: Buffer): void {
    if (!this.#hasEnded) {
      this.#listener.data(chunk);
    }
  }

  #handleEnd(connection: TargetConnection): void {
    if (this.#hasEnded) {
      return;
    }
    if (!connection.isAnswerComplete(this.#framed)) {
      this.#fail('answer was cut');
      return;
    }
    this.#hasEnded = true;
    // A connection that is about to end must not be taken for the next request.
    if (this.#request.usesNewConnection || !this.#framed || this.#isLast) {
      connection.destroy();
    } else {
      this.#connections.release(this.#request.worker, connection);
    }
    this.#listener.ended();
  }

  #handleError(error: unknown): void {
    if (this.#isStarting) {
      // Those who started the attempt refer to it when they hear of its end.
      queueMicrotask(() => this.#fail(describe(error)));
    } else {
      this.#fail(describe(error));
    }
  }

  #fail(reason: string): void {
    if (!this.#hasEnded) {
      this.#hasEnded = true;
      this.#connection?.destroy();
      this.#listener.failed(reason);
    }
  }
}

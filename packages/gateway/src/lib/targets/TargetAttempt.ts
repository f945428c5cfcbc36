import type { Dispatcher } from 'undici';
import type { WorkerId } from '@dandelionlane/core';
import type AttemptListener from './AttemptListener.js';
import type TargetConnection from './TargetConnection.js';
import type TargetConnections from './TargetConnections.js';

/** One request to a target. */
interface AttemptRequest {
  readonly worker: WorkerId;
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer;
  /** Uses a new connection, and only once: a kept one may end while the request is on its way. */
  readonly usesNewConnection: boolean;
}

function describe(error: unknown): string {
  if (!(error instanceof Error)) {
    return String(error);
  }
  const { code } = error as { code?: unknown };
  return typeof code === 'string' ? code : error.message;
}

/** Sends one request to one target and hands the answer to a listener. */
export default class TargetAttempt {
  readonly #connections: TargetConnections;

  readonly #connection: TargetConnection;

  readonly #request: AttemptRequest;

  readonly #listener: AttemptListener;

  #controller: Dispatcher.DispatchController | null = null;

  #sent = false;

  #finished = false;

  #framed = true;

  constructor(connections: TargetConnections, request: AttemptRequest, listener: AttemptListener) {
    this.#connections = connections;
    this.#request = request;
    this.#listener = listener;
    this.#connection = connections.acquire(request.worker, request.address, request.usesNewConnection);
  }

  /** Whether a byte of the request may have left. */
  get sent(): boolean {
    return this.#sent;
  }

  start(): void {
    const {
      method, path, headers, body, usesNewConnection,
    } = this.#request;
    this.#connection.client.dispatch({
      method,
      path,
      headers,
      body: body.length === 0 ? null : body,
      reset: usesNewConnection,
    }, {
      onRequestStart: (controller) => this.#started(controller),
      onResponseStart: (_controller, status, answerHeaders) => this.#answered(status, answerHeaders),
      onResponseData: (_controller, chunk) => this.#received(chunk),
      onResponseEnd: () => this.#ended(),
      onResponseError: (_controller, error) => this.#fail(describe(error)),
    });
  }

  /** Gives the attempt up. The listener hears nothing more, and the target sees its connection end. */
  abandon(): void {
    if (!this.#finished) {
      this.#finished = true;
      this.#connection.destroy();
    }
  }

  /** Stops reading until `resume`, for a caller that does not keep up. */
  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  #started(controller: Dispatcher.DispatchController): void {
    if (this.#finished) {
      controller.abort(new Error('attempt was abandoned'));
      return;
    }
    this.#controller = controller;
    this.#sent = true;
  }

  #answered(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void {
    if (!this.#finished && status >= 200) {
      this.#framed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
      this.#listener.head(status, headers);
    }
  }

  #received(chunk: Buffer): void {
    if (!this.#finished) {
      this.#listener.data(chunk);
    }
  }

  #ended(): void {
    if (this.#finished) {
      return;
    }
    if (!this.#connection.isAnswerComplete(this.#framed)) {
      this.#fail('answer was cut');
      return;
    }
    this.#finished = true;
    if (this.#request.usesNewConnection) {
      this.#connection.destroy();
    } else {
      this.#connections.release(this.#request.worker, this.#connection);
    }
    this.#listener.ended();
  }

  #fail(reason: string): void {
    if (!this.#finished) {
      this.#finished = true;
      this.#connection.destroy();
      this.#listener.failed(reason);
    }
  }
}

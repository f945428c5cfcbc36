import type { IncomingMessage, ServerResponse } from 'node:http';
import { ServingError } from '@dandelionlane/core';
import StreamRelay from '../relay/StreamRelay.js';
import abortAnswer from '../relay/abortAnswer.js';
import PlainRelay from '../relay/PlainRelay.js';
import type Call from './Call.js';
import CallLog from './CallLog.js';
import type GatewayContext from './GatewayContext.js';
import admitCall from './admitCall.js';
import readBody from './readBody.js';
import writeRefusal from './writeRefusal.js';

/** Time after which a caller that an entry sent away may come back to another one, in s. */
const LEAVING_RETRY_SECONDS = 0.1;

/** How an entry leaves, from now on. */
interface LeavePlan {
  /** Time for which requests are accepted whatever they may take, in ms. */
  readonly acceptsForMilliseconds: number;
  /** Time after which requests under way are cut, in ms. */
  readonly endsInMilliseconds: number;
}

/** A leave under way, in monotonic times, in ms. */
interface Leave {
  /** From here requests are refused that may not end in time. */
  readonly refusesFrom: number;
  /** The process ends here at the latest. */
  readonly endsAt: number;
}

/** Serves the requests of callers, from the head to the final answer. */
export default class RequestServer {
  readonly #parts: GatewayContext;

  #running = 0;

  #leave: Leave | null = null;

  constructor(parts: GatewayContext) {
    this.#parts = parts;
  }

  /** Requests under way. */
  get inFlight(): number {
    return this.#running;
  }

  /**
   * From now on each answer asks its caller to use another connection. After a while requests are
   * refused that may last longer than this process.
   */
  leave({ acceptsForMilliseconds, endsInMilliseconds }: LeavePlan): void {
    const now = this.#parts.clock.monotonicMilliseconds();
    this.#leave = { refusesFrom: now + acceptsForMilliseconds, endsAt: now + endsInMilliseconds };
  }

  /** Handles one request. Never rejects. */
  async handle(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const { clock, log, metrics } = this.#parts;
    const receivedAt = clock.monotonicMilliseconds();
    const callLog = new CallLog();
    this.#running += 1;
    if (this.#leave !== null) {
      outgoing.setHeader('connection', 'close');
    }
    const outcome = await this.#serve(incoming, outgoing, receivedAt, callLog).catch((cause: unknown) => {
      const error = new ServingError('request failed inside the gateway', { kind: 'internal', cause });
      log.error('Request failed inside the gateway.', { reason: cause instanceof Error ? cause.stack : String(cause) });
      if (outgoing.headersSent) {
        abortAnswer(outgoing);
      } else {
        writeRefusal(outgoing, error);
      }
      return 'internal';
    });
    this.#running -= 1;
    const milliseconds = Math.round(clock.monotonicMilliseconds() - receivedAt);
    metrics.count('gateway.requests', 1, [`outcome:${outcome}`]);
    metrics.timing('gateway.request', milliseconds);
    log.info('Request ended.', {
      request: this.#parts.wire.readCall(incoming.headers).requestId,
      outcome,
      status: outgoing.headersSent ? outgoing.statusCode : undefined,
      milliseconds,
      configuration: this.#parts.configuration.table?.configuration.version,
      ...callLog.fields,
    });
  }

  async #serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    receivedAt: number,
    log: CallLog,
  ): Promise<string> {
    const { table } = this.#parts.configuration;
    const refuse = (error: ServingError): string => {
      writeRefusal(outgoing, error);
      return error.kind;
    };
    if (table === null) {
      return refuse(new ServingError('no configuration is known yet', { kind: 'no-accepted-state', retryAfterSeconds: 0.5 }));
    }
    const admitted = admitCall(this.#parts, {
      incoming, outgoing, table, receivedAt, log,
    });
    const read = await readBody(incoming, table.configuration.limits.maximumBodyBytes);
    if (read.kind === 'cut') {
      return 'caller-gone';
    }
    if (read.kind === 'too-large') {
      outgoing.setHeader('connection', 'close');
      return refuse(new ServingError('body is larger than the limit', { kind: 'body-too-large' }));
    }
    if (admitted.isErr()) {
      return refuse(admitted.error);
    }
    return this.#dispatch({ ...admitted.value, body: read.body });
  }

  async #dispatch(call: Call): Promise<string> {
    const departure = new AbortController();
    call.outgoing.once('close', () => {
      if (!call.outgoing.writableFinished) {
        departure.abort();
      }
    });
    if (call.outgoing.destroyed) {
      return 'caller-gone';
    }
    const now = this.#parts.clock.monotonicMilliseconds();
    if (this.#leave !== null && now >= this.#leave.refusesFrom && call.deadlineAt > this.#leave.endsAt) {
      const error = new ServingError('this entry leaves before the request may have ended', {
        kind: 'entry-leaving', retryAfterSeconds: LEAVING_RETRY_SECONDS,
      });
      writeRefusal(call.outgoing, error);
      return error.kind;
    }
    this.#parts.budget.recordRequest(call.service);
    return call.route.request.kind === 'stream'
      ? new StreamRelay(this.#parts, call).serve(departure.signal)
      : new PlainRelay(this.#parts, call).serve(departure.signal);
  }
}

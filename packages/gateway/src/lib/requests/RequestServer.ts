import type { IncomingMessage, ServerResponse } from 'node:http';
import { ServingError, readAnnouncedBytes } from '@dandelionlane/core';
import fingerprintRequest from '../quarantine/fingerprintRequest.js';
import StreamRelay from '../relay/StreamRelay.js';
import abortAnswer from '../relay/abortAnswer.js';
import PlainRelay from '../relay/PlainRelay.js';
import type Call from './Call.js';
import CallLog from './CallLog.js';
import type GatewayContext from './GatewayContext.js';
import type RequestOrigin from './RequestOrigin.js';
import type RunningRequest from './RunningRequest.js';
import admitCall from './admitCall.js';
import declineForEntry from './declineForEntry.js';
import endRequest from './endRequest.js';
import readBody from './readBody.js';
import refuseUnread from './refuseUnread.js';
import LEAVING_RETRY_SECONDS from './LEAVING_RETRY_SECONDS.js';
import writeRefusal from './writeRefusal.js';

/** HTTP version without chunks, in which the end of this process looks like the end of a stream. */
const UNCHUNKED_VERSION = '1.0';

/** Shortest time after which a request that is refused for lack of memory may fit, in s. */
const MEMORY_RETRY_SECONDS = 0.5;

/** Outcome of a body that has not been read whole, although its caller is still there. */
type RefusedBody = Extract<Awaited<ReturnType<typeof readBody>>, { readonly lingers: boolean }>;

/** Schedule of the departure of an entry, relative to now. */
interface DepartureSchedule {
  /** Time for which requests are accepted regardless of their deadline, in ms. */
  readonly acceptsForMilliseconds: number;
  /** Time after which requests in flight are cut off, in ms. */
  readonly endsInMilliseconds: number;
}

/** A departure under way. Times are monotonic, in ms. */
interface Departure {
  /** From this time on, requests whose deadline is after `endsAt` are refused. */
  readonly refusesFrom: number;
  /** Latest end of the process. */
  readonly endsAt: number;
}

/** Serves the requests of callers, from the head to the final answer. */
export default class RequestServer {
  readonly #context: GatewayContext;

  readonly #running = new Set<RunningRequest>();

  #departure: Departure | null = null;

  constructor(context: GatewayContext) {
    this.#context = context;
  }

  /** Requests in flight. */
  get inFlight(): number {
    return this.#running.size;
  }

  /**
   * Starts the departure: from now on each answer closes its connection, and after a while requests
   * whose deadline is after the end of this process are refused.
   */
  leave({ acceptsForMilliseconds, endsInMilliseconds }: DepartureSchedule): void {
    const now = this.#context.clock.monotonicMilliseconds();
    this.#departure = {
      refusesFrom: now + Math.min(acceptsForMilliseconds, endsInMilliseconds),
      endsAt: now + endsInMilliseconds,
    };
    [...this.#running].filter(({ outgoing }) => !outgoing.headersSent).forEach(({ outgoing }) => {
      outgoing.setHeader('connection', 'close');
    });
  }

  /**
   * Ends the requests in flight, right before the end of the process: those without an answer get one, and
   * answers that have begun are cut. Requests that come later are refused.
   */
  endAll(): void {
    const now = this.#context.clock.monotonicMilliseconds();
    this.#departure = { refusesFrom: now, endsAt: now };
    [...this.#running].filter(({ outgoing }) => !outgoing.destroyed).forEach((request) => {
      const {
        outgoing, metadata, receivedAt, log,
      } = request;
      const hasBegun = outgoing.headersSent;
      Object.assign(request, { endedAs: endRequest(request) });
      this.#context.log.warn('Request is cut by the end of the process.', {
        request: metadata.requestId,
        milliseconds: Math.round(now - receivedAt),
        sentTo: log.lastTarget ?? undefined,
        begun: hasBegun,
        status: outgoing.headersSent ? outgoing.statusCode : undefined,
        ...log.fields,
      });
    });
  }

  /** Handles one request. Never rejects. */
  async handle(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    origin: RequestOrigin = 'caller',
  ): Promise<void> {
    const { clock, log, metrics } = this.#context;
    const receivedAt = clock.monotonicMilliseconds();
    const metadata = this.#context.wire.readCall(incoming.headers);
    const callLog = new CallLog();
    const request: RunningRequest = {
      incoming,
      outgoing,
      metadata,
      origin,
      receivedAt,
      log: callLog,
      abandonment: new AbortController(),
      endedAs: null,
    };
    this.#running.add(request);
    if (this.#departure !== null) {
      outgoing.setHeader('connection', 'close');
    }
    const served = await this.#serve(request).catch((cause: unknown) => {
      const error = new ServingError('request failed inside the gateway', { kind: 'internal', cause });
      // One of several attempts may have failed.
      request.abandonment.abort();
      log.error('Request failed inside the gateway.', { reason: cause instanceof Error ? cause.stack : String(cause) });
      if (outgoing.headersSent) {
        abortAnswer(outgoing);
      } else {
        writeRefusal(outgoing, error);
      }
      return 'internal';
    });
    this.#running.delete(request);
    const outcome = request.endedAs ?? served;
    const milliseconds = Math.round(clock.monotonicMilliseconds() - receivedAt);
    metrics.count('gateway.requests', 1, [`outcome:${outcome}`]);
    metrics.timing('gateway.request', milliseconds);
    log.info('Request ended.', {
      request: metadata.requestId,
      outcome,
      status: outgoing.headersSent ? outgoing.statusCode : undefined,
      milliseconds,
      configuration: this.#context.configuration.table?.configuration.version,
      origin: origin === 'caller' ? undefined : origin,
      ...callLog.fields,
    });
  }

  async #serve(received: RunningRequest): Promise<string> {
    const { incoming, outgoing } = received;
    const { table } = this.#context.configuration;
    const refuse = (error: ServingError): string => {
      writeRefusal(outgoing, error);
      return error.kind;
    };
    if (table === null) {
      return refuse(new ServingError('no configuration is known yet', { kind: 'no-accepted-state', retryAfterSeconds: 0.5 }));
    }
    const admitted = admitCall(this.#context, { ...received, table });
    const { maximumBodyBytes } = table.configuration.limits;
    const { budget, blocks } = this.#context.answerMemory;
    budget.allowBody(maximumBodyBytes);
    const announcedBytes = readAnnouncedBytes(incoming);
    if (announcedBytes > maximumBodyBytes) {
      return this.#refuseBody(received, { kind: 'too-large', lingers: true });
    }
    if (!budget.hasRoomFor(announcedBytes)) {
      return this.#refuseBody(received, { kind: 'given-up', lingers: true });
    }
    const read = await readBody(incoming, {
      maximumBytes: maximumBodyBytes, keeps: admitted.isOk(), budget, blocks, clock: this.#context.clock,
    });
    if (read.kind === 'cut') {
      return 'caller-gone';
    }
    if (read.kind !== 'whole') {
      return this.#refuseBody(received, read);
    }
    try {
      return await this.#serveWhole(received, admitted, read.body);
    } finally {
      read.release();
    }
  }

  async #serveWhole(
    { incoming, outgoing, abandonment }: RunningRequest,
    admitted: ReturnType<typeof admitCall>,
    body: Buffer,
  ): Promise<string> {
    const refuse = (error: ServingError): string => {
      writeRefusal(outgoing, error);
      return error.kind;
    };
    if (admitted.isErr()) {
      return refuse(admitted.error);
    }
    if (admitted.value.route.request.kind === 'stream' && incoming.httpVersion === UNCHUNKED_VERSION) {
      return refuse(new ServingError('streams need HTTP/1.1', { kind: 'http-version-unsupported' }));
    }
    const call = { ...admitted.value, body };
    const suspects = [...call.metadata.sharedPromptParts, fingerprintRequest(call)];
    return this.#dispatch({ ...call, suspects }, abandonment);
  }

  /** Refuses a request whose body has not been read whole. It has been sent to no target. */
  #refuseBody({ outgoing, origin }: RunningRequest, { kind, lingers }: RefusedBody): string {
    const { random, metrics, wire } = this.#context;
    const refuse = (error: ServingError): string => {
      if (origin === 'entry') {
        Object.entries(wire.declinedHeaders).forEach(([name, value]) => outgoing.setHeader(name, value));
      }
      refuseUnread(outgoing, error, lingers);
      return error.kind;
    };
    switch (kind) {
      case 'too-large':
        return refuse(new ServingError('body is larger than the limit', { kind: 'body-too-large' }));
      case 'too-slow':
        metrics.count('gateway.bodies_given_up', 1, ['reason:slow']);
        return refuse(new ServingError('body comes too slowly', { kind: 'body-too-slow' }));
      case 'given-up':
        metrics.count('gateway.bodies_given_up', 1, ['reason:memory']);
        return refuse(new ServingError('bodies and answers hold as many bytes as this entry may hold', {
          kind: 'memory-full',
          // Spread, so that the requests that are refused now do not come back at the same moment.
          retryAfterSeconds: MEMORY_RETRY_SECONDS * (1 + random.next()),
        }));
      default:
        return kind satisfies never;
    }
  }

  async #dispatch(call: Call, abandonment: AbortController): Promise<string> {
    call.outgoing.once('close', () => {
      if (!call.outgoing.writableFinished) {
        abandonment.abort();
      }
    });
    if (call.outgoing.destroyed) {
      return 'caller-gone';
    }
    const now = this.#context.clock.monotonicMilliseconds();
    if (this.#departure !== null && now >= this.#departure.refusesFrom
      && call.deadlineAt > this.#departure.endsAt) {
      const error = new ServingError('this entry leaves before the request may have ended', {
        kind: 'entry-leaving', retryAfterSeconds: LEAVING_RETRY_SECONDS,
      });
      declineForEntry(this.#context, call);
      writeRefusal(call.outgoing, error);
      return error.kind;
    }
    if (call.origin === 'caller') {
      this.#context.budget.recordRequest(call.service);
    }
    return call.route.request.kind === 'stream'
      ? new StreamRelay(this.#context, call).serve(abandonment.signal)
      : new PlainRelay(this.#context, call).serve(abandonment.signal);
  }
}

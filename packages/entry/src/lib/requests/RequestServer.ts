import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {
  BlockPool, MemoryBudget, RequestId, ServiceId, ServingError, deriveMemoryBudget, hashText,
  type Clock, type EntryId, type ServiceDefinition,
} from '@dandelionlane/core';
import type { ClaimStore } from '@dandelionlane/platform';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import type CompleteAnswer from '../dispatch/CompleteAnswer.js';
import type RequestDispatcher from '../dispatch/RequestDispatcher.js';
import writeCompleteAnswer from '../dispatch/writeCompleteAnswer.js';
import type RequestForwarder from '../forward/RequestForwarder.js';
import type EntryGroup from '../peers/EntryGroup.js';
import type ReleaseTracker from '../release/ReleaseTracker.js';
import type ServiceTargets from '../targets/ServiceTargets.js';
import type TargetTable from '../targets/TargetTable.js';
import type AdmissionControl from './AdmissionControl.js';
import type RequestConnection from './RequestConnection.js';
import type CallerHeaders from './CallerHeaders.js';
import type CallerRequest from './CallerRequest.js';
import ClaimedCalls from './ClaimedCalls.js';
import classifyRepeatability from './classifyRepeatability.js';
import parseChatBody from './parseChatBody.js';
import extractPrompt from './extractPrompt.js';
import readCallerHeaders from './readCallerHeaders.js';
import receiveBody from './receiveBody.js';
import type RequestTarget from './RequestTarget.js';
import writeProblem from './writeProblem.js';
import writeStreamProblem from './writeStreamProblem.js';

const PREFIX_CHARACTERS = 256;
const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_ANSWER_TOKENS = 256;

/** Dependencies and settings of a `RequestServer`. */
interface RequestServerOptions {
  readonly entry: EntryId;
  readonly clock: Clock;
  readonly release: ReleaseTracker;
  readonly group: EntryGroup;
  readonly targets: TargetTable;
  readonly admission: AdmissionControl;
  readonly claims: ClaimStore;
  readonly dispatcher: RequestDispatcher;
  readonly forwarder: RequestForwarder;
  readonly maximumBodyBytes: number;
  readonly receiveTimeoutMilliseconds: number;
  /** Whether new requests are refused, as at the end of a graceful shutdown. */
  readonly isClosed: () => boolean;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** A request whose body is being received. */
interface Reception {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly receivedAtMilliseconds: number;
  /** Called with what releases the bytes of the body. */
  readonly onBody: (release: () => void) => void;
}

/**
 * Serves requests in stages: receive, identify, route, admit, claim, dispatch, record the end.
 * Each stage returns a typed value to the next one or ends the request with an error.
 */
export default class RequestServer {
  readonly #options: RequestServerOptions;

  readonly #claimedCalls: ClaimedCalls;

  /** The bytes of all bodies; the settings of the entry do not state the memory of its machine. */
  readonly #budget = new MemoryBudget(deriveMemoryBudget(null));

  readonly #blocks = new BlockPool();

  #inFlight = 0;

  /** Requests identified so far. Numbers their `internalId`. */
  #requestCount = 0;

  constructor(options: RequestServerOptions) {
    this.#options = options;
    this.#claimedCalls = new ClaimedCalls(options);
    this.#budget.allowBody(options.maximumBodyBytes);
  }

  /** Number of requests not yet completely answered, and of calls whose outcome is not yet stored. */
  get inFlight(): number {
    return this.#inFlight + this.#claimedCalls.unsettled;
  }

  /** Serves one request and answers it. Never rejects. */
  async serve(target: RequestTarget, incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const startedAt = this.#options.clock.monotonicMilliseconds();
    this.#inFlight += 1;
    let release = () => undefined as void;
    try {
      const request = await this.#receive(target, {
        incoming,
        outgoing,
        receivedAtMilliseconds: startedAt,
        onBody: (received) => {
          release = received;
        },
      });
      const result = request.isErr() ? err(request.error) : await this.#route(request.value);
      this.#recordEnd(request.isOk() ? request.value : null, result, outgoing, startedAt);
    } catch (cause) {
      const error = new ServingError('request failed inside the entry', { kind: 'internal', cause });
      this.#options.log.error('Request failed.', { detail: String(cause) });
      writeProblem(outgoing, error);
    } finally {
      release();
      this.#inFlight -= 1;
    }
  }

  #receive(
    target: RequestTarget,
    {
      incoming, outgoing, receivedAtMilliseconds, onBody,
    }: Reception,
  ): ResultAsync<CallerRequest, ServingError> {
    const abortController = new AbortController();
    outgoing.once('close', () => abortController.abort());
    const { maximumBodyBytes, receiveTimeoutMilliseconds } = this.#options;
    return this.#checkOpen()
      .andThen(() => readCallerHeaders(incoming.headers))
      .asyncAndThen((headers) => (
        receiveBody(incoming, {
          maximumBytes: maximumBodyBytes,
          timeoutMilliseconds: receiveTimeoutMilliseconds,
          budget: this.#budget,
          blocks: this.#blocks,
        }).andThen(({ body, release }) => {
          onBody(release);
          return this.#identify(target, headers, body, {
            incoming, outgoing, receivedAtMilliseconds, callerGone: abortController.signal,
          });
        })
      ));
  }

  #checkOpen(): Result<void, ServingError> {
    if (this.#options.isClosed()) {
      return err(new ServingError('this entry is shutting down; ask which entry to use', { kind: 'entry-leaving' }));
    }
    if (this.#options.release.state() === null) {
      return err(new ServingError('no release state has been read yet', { kind: 'no-accepted-state' }));
    }
    return ok(undefined);
  }

  #identify(
    target: RequestTarget,
    headers: CallerHeaders,
    body: Buffer,
    connection: RequestConnection,
  ): Result<CallerRequest, ServingError> {
    switch (target.kind) {
      case 'chat':
        return parseChatBody(body).andThen((chat) => this.#findDefinition(chat.model, 'model').map((definition) => {
          const prompt = extractPrompt(chat);
          const answerTokens = chat.max_completion_tokens ?? chat.max_tokens ?? DEFAULT_ANSWER_TOKENS;
          return this.#createRequest(target, headers, body, connection, definition, {
            streaming: chat.stream === true,
            repeatability: 'repeatable',
            prefixHash: hashText(prompt.slice(0, PREFIX_CHARACTERS)),
            estimatedTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN) + answerTokens,
          });
        }));
      case 'plain':
        return this.#findDefinition(target.service, 'plain').andThen((definition) => (
          classifyRepeatability(definition, target.method, target.path, headers.idempotencyKey)
            .map((repeatability) => this.#createRequest(target, headers, body, connection, definition, {
              streaming: false, repeatability, prefixHash: null, estimatedTokens: 1,
            }))
        ));
      default:
        return target satisfies never;
    }
  }

  #findDefinition(name: string, kind: ServiceDefinition['kind']): Result<ServiceDefinition, ServingError> {
    const service = ServiceId.safeParse(name);
    const definition = service.success ? this.#options.release.definition(service.data) : undefined;
    if (definition === undefined || definition.kind !== kind) {
      return err(new ServingError(`no ${kind} service ${name}`, { kind: 'unknown-service' }));
    }
    return ok(definition);
  }

  #createRequest(
    target: RequestTarget,
    headers: CallerHeaders,
    body: Buffer,
    { incoming, ...connection }: RequestConnection,
    definition: ServiceDefinition,
    attributes: Pick<CallerRequest, 'streaming' | 'repeatability' | 'prefixHash' | 'estimatedTokens'>,
  ): CallerRequest {
    this.#requestCount += 1;
    const timeout = Math.min(headers.timeoutMilliseconds, definition.limits.requestTimeoutMilliseconds);
    return {
      ...attributes,
      ...connection,
      requestId: headers.requestId,
      internalId: RequestId.parse(`work-${this.#requestCount}`),
      team: headers.team,
      idempotencyKey: headers.idempotencyKey,
      forwardedBy: headers.forwardedBy,
      definition,
      method: target.method,
      path: target.path,
      headers: incoming.headers,
      body,
      deadlineMilliseconds: connection.receivedAtMilliseconds + timeout,
      originalPath: incoming.url ?? target.path,
    };
  }

  async #route(request: CallerRequest): Promise<Result<void, ServingError>> {
    const { group, entry, forwarder } = this.#options;
    const { service } = request.definition;
    const homes = group.homesOf(service);
    const targets = this.#options.targets.targets(service);
    const otherHomes = homes.filter((home) => home.entry !== entry);
    // A home whose share is exhausted forwards requests, since other homes may have free capacity.
    const mustServeHere = request.forwardedBy !== null || otherHomes.length === 0;
    const canServeHere = targets?.hasShare() === true
      && (mustServeHere || this.#options.admission.hasCapacity(service, targets.capacity()));
    if (targets !== undefined && canServeHere) {
      return this.#serveHere(request, targets);
    }
    if (mustServeHere && targets?.hasWholeReplica() === false) {
      return err(new ServingError('no replica has all of its VMs present', { kind: 'no-whole-replica' }));
    }
    if (mustServeHere) {
      return err(new ServingError(`${entry} has no share of ${service}`, { kind: 'home-unreachable' }));
    }
    return forwarder.forward(request, otherHomes);
  }

  async #serveHere(request: CallerRequest, targets: ServiceTargets): Promise<Result<void, ServingError>> {
    if (!targets.hasWholeReplica()) {
      return err(new ServingError('no replica has all of its VMs present', { kind: 'no-whole-replica' }));
    }
    const admitted = await this.#options.admission.admit(request, targets.capacity());
    if (admitted.isErr()) {
      return err(admitted.error);
    }
    const releaseCapacity = () => this.#options.admission.release(
      request.definition.service,
      request.internalId,
    );
    if (request.repeatability === 'claimed') {
      return this.#claimedCalls.serve(request, () => this.#dispatch(request), releaseCapacity);
    }
    try {
      return await this.#send(request);
    } finally {
      releaseCapacity();
    }
  }

  async #send(request: CallerRequest): Promise<Result<void, ServingError>> {
    const sent = await this.#dispatch(request);
    if (sent.isErr()) {
      return err(sent.error);
    }
    if (sent.value !== null) {
      writeCompleteAnswer(request, sent.value.head, sent.value.body);
    }
    return ok(undefined);
  }

  async #dispatch(request: CallerRequest): Promise<Result<CompleteAnswer | null, ServingError>> {
    const targets = this.#options.targets.targets(request.definition.service);
    if (targets === undefined) {
      return err(new ServingError('no placement has been read yet', { kind: 'no-whole-replica' }));
    }
    return this.#options.dispatcher.dispatch(request, targets);
  }

  #recordEnd(
    request: CallerRequest | null,
    result: Result<void, ServingError>,
    outgoing: ServerResponse,
    startedAt: number,
  ): void {
    const milliseconds = this.#options.clock.monotonicMilliseconds() - startedAt;
    const outcome = result.isOk() ? 'answered' : result.error.kind;
    this.#options.metrics.timing('entry.request', milliseconds, [`outcome:${outcome}`]);
    this.#options.log.info('Request ended.', {
      request: request?.requestId,
      team: request?.team,
      service: request?.definition.service,
      outcome,
      detail: result.isErr() ? result.error.message : undefined,
      milliseconds: Math.round(milliseconds),
    });
    if (result.isErr()) {
      if (!outgoing.req.complete && !outgoing.headersSent) {
        // The rest of the body would be read as long as its caller sends it.
        outgoing.setHeader('connection', 'close');
      }
      this.#refuse(request, result.error, outgoing);
    }
  }

  // eslint-disable-next-line class-methods-use-this -- the last stage of a request
  #refuse(request: CallerRequest | null, error: ServingError, outgoing: ServerResponse): void {
    if (request?.streaming === true && outgoing.headersSent && !outgoing.writableEnded) {
      writeStreamProblem(outgoing, error, request.requestId);
      return;
    }
    writeProblem(outgoing, error, request?.requestId ?? RequestId.parse('unknown'));
  }
}

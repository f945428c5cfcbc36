import {
  err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {
  ServingError, type Clock, type RequestId, type ServiceId, type TeamId,
} from '@dandelionlane/core';
import { AdmissionQueue, type Refusal } from '@dandelionlane/routing';
import type CallerRequest from './CallerRequest.js';

const MAXIMUM_QUEUED_REQUESTS = 1_000;
const INITIAL_SERVICE_MILLISECONDS = 500;
const EXPIRY_PERIOD_MILLISECONDS = 50;

type Settle = (result: Result<void, ServingError>) => void;

function toError(refusal: Refusal): ServingError {
  return new ServingError(
    'no place is free in time',
    { kind: refusal.kind, retryAfterSeconds: refusal.retryAfterSeconds },
  );
}

/** Admits requests to the targets of each service, and queues or refuses those beyond its capacity. */
export default class AdmissionControl {
  readonly #clock: Clock;

  readonly #weightOf: (team: TeamId) => number;

  readonly #queues = new Map<ServiceId, AdmissionQueue>();

  readonly #waiting = new Map<RequestId, Settle>();

  readonly #timer: NodeJS.Timeout;

  constructor(clock: Clock, weightOf: (team: TeamId) => number) {
    this.#clock = clock;
    this.#weightOf = weightOf;
    this.#timer = setInterval(() => this.#expire(), EXPIRY_PERIOD_MILLISECONDS);
    this.#timer.unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Resolves when the request is admitted. `capacity` is the number of requests that this entry
   * may have in flight on the service's targets now. Errors: the refusals of `AdmissionQueue`, and
   * `caller-gone`.
   */
  admit(request: CallerRequest, capacity: number): ResultAsync<void, ServingError> {
    this.setCapacity(request.definition.service, capacity);
    const { definition, internalId: requestId } = request;
    const now = this.#clock.monotonicMilliseconds();
    const decision = this.#queueFor(definition.service).offer({
      requestId,
      team: request.team,
      priority: definition.priority,
      deadlineMilliseconds: request.deadlineMilliseconds,
      queueUntilMilliseconds: now + definition.limits.queueTimeoutMilliseconds,
      expectedServiceMilliseconds: 0,
    }, now);
    switch (decision.kind) {
      case 'admitted':
        return new ResultAsync(Promise.resolve(ok(undefined)));
      case 'refused':
        return new ResultAsync(Promise.resolve(err(toError(decision.refusal))));
      case 'queued':
        return this.#wait(request);
      default:
        return decision satisfies never;
    }
  }

  /** Releases the capacity that the request with this `internalId` takes. */
  release(service: ServiceId, requestId: RequestId): void {
    const admitted = this.#queueFor(service).release(requestId, this.#clock.monotonicMilliseconds());
    this.#wake(admitted);
  }

  setCapacity(service: ServiceId, capacity: number): void {
    const admitted = this.#queueFor(service).setCapacity(capacity, this.#clock.monotonicMilliseconds());
    this.#wake(admitted);
  }

  /** Whether a request would be admitted without waiting. */
  hasCapacity(service: ServiceId, capacity: number): boolean {
    this.setCapacity(service, capacity);
    return this.#queueFor(service).hasFreeSlot;
  }

  queued(): number {
    return this.#waiting.size;
  }

  #wait(request: CallerRequest): ResultAsync<void, ServingError> {
    const { internalId: requestId, callerGone, definition } = request;
    return new ResultAsync(new Promise((resolve) => {
      this.#waiting.set(requestId, resolve);
      callerGone.addEventListener('abort', () => {
        if (this.#queueFor(definition.service).cancel(requestId)) {
          this.#settle(requestId, err(new ServingError('caller went away', { kind: 'caller-gone' })));
        }
      }, { once: true });
    }));
  }

  #wake(requests: readonly RequestId[]): void {
    requests.forEach((requestId) => this.#settle(requestId, ok(undefined)));
  }

  #settle(requestId: RequestId, result: Result<void, ServingError>): void {
    const settle = this.#waiting.get(requestId);
    this.#waiting.delete(requestId);
    settle?.(result);
  }

  #expire(): void {
    const now = this.#clock.monotonicMilliseconds();
    this.#queues.forEach((queue) => {
      queue.expire(now).forEach((refusal) => this.#settle(refusal.requestId, err(toError(refusal))));
    });
  }

  #queueFor(service: ServiceId): AdmissionQueue {
    const existing = this.#queues.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const queue = new AdmissionQueue({
      capacity: 0,
      maximumQueued: MAXIMUM_QUEUED_REQUESTS,
      initialServiceMilliseconds: INITIAL_SERVICE_MILLISECONDS,
      weightOf: this.#weightOf,
    });
    this.#queues.set(service, queue);
    return queue;
  }
}

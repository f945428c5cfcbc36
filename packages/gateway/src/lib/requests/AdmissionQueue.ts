import type { Clock, ModelName } from '@dandelionlane/core';
import type ModelTraffic from '../choice/ModelTraffic.js';
import type Choice from '../choice/Choice.js';
import ServiceRate from './ServiceRate.js';
import type WaitOutcome from './WaitOutcome.js';

/** Time between two rounds, in ms: a slot becomes free about every 50 ms. */
const PERIOD_MILLISECONDS = 20;

/** Limit on waiting requests: further ones are refused at once. */
const MAXIMUM_WAITING = 500;

/** A request that waits for a target. */
interface WaitingRequest {
  /** Requests with the same key wait for the same targets. */
  readonly queueKey: string;
  /** Model that it requests. */
  readonly model: ModelName | null;
  /** Monotonic time until which it is on time, in ms. */
  readonly onTimeUntil: number;
  /** Monotonic time until which it waits, in ms. */
  readonly until: number;
  readonly signal: AbortSignal;
  /** Chooses a target now. */
  readonly choose: () => Choice;
}

/** A waiting request with the callback that ends its wait. */
interface QueuedRequest extends WaitingRequest {
  readonly resolve: (outcome: WaitOutcome) => void;
}

/**
 * Queue of the requests for which no target is free now. Those that can still be on time are served
 * first, the earliest deadline first; the others follow in order of arrival.
 */
export default class AdmissionQueue {
  readonly #clock: Clock;

  #waiting: QueuedRequest[] = [];

  readonly #rates = new Map<string, ServiceRate>();

  #timer: NodeJS.Timeout | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#waiting.length;
  }

  /** Numbers of requests of a model that wait. */
  count(model: ModelName): Pick<ModelTraffic, 'onTimeWaiting' | 'lateWaiting'> {
    const now = this.#clock.monotonicMilliseconds();
    const waiting = this.#waiting.filter((queued) => queued.model === model);
    const lateWaiting = waiting.filter(({ onTimeUntil }) => onTimeUntil <= now).length;
    return { onTimeWaiting: waiting.length - lateWaiting, lateWaiting };
  }

  /** Waits for a target, unless it is known that none will be free in time. */
  wait(request: WaitingRequest): Promise<WaitOutcome> {
    if (this.#waiting.length >= MAXIMUM_WAITING) {
      return Promise.resolve({ kind: 'unserved' });
    }
    const now = this.#clock.monotonicMilliseconds();
    const rate = this.#rateOf(request.queueKey);
    const expected = rate.estimateMilliseconds(this.#countAhead(request, now) + 1, now);
    if (expected !== null && now + expected > request.until) {
      return Promise.resolve({ kind: 'rejected', retryAfterMilliseconds: expected });
    }
    rate.recordWaiting(now);
    return new Promise((resolve) => {
      this.#waiting.push({ ...request, resolve });
      this.#timer ??= setInterval(() => this.#round(new Set()), PERIOD_MILLISECONDS);
    });
  }

  /** Serves the next request that is not blocked by its key; continues once that request has been sent. */
  #round(blocked: Set<string>): void {
    const now = this.#clock.monotonicMilliseconds();
    this.#waiting.filter((queued) => queued.signal.aborted || now >= queued.until)
      .forEach((queued) => this.#end(queued, { kind: 'unserved' }));
    for (const queued of this.#inOrder(now)) {
      if (!blocked.has(queued.queueKey)) {
        const choice = queued.choose();
        if (choice.kind === 'chosen') {
          this.#rateOf(queued.queueKey).recordServed(now);
          this.#end(queued, { kind: 'served', choice });
          setImmediate(() => this.#round(blocked));
          return;
        }
        blocked.add(queued.queueKey);
      }
    }
  }

  #inOrder(now: number): readonly QueuedRequest[] {
    const urgent = this.#waiting.filter(({ onTimeUntil }) => onTimeUntil > now)
      .sort((left, right) => left.onTimeUntil - right.onTimeUntil);
    return [...urgent, ...this.#waiting.filter(({ onTimeUntil }) => onTimeUntil <= now)];
  }

  #rateOf(queueKey: string): ServiceRate {
    const rate = this.#rates.get(queueKey) ?? new ServiceRate();
    this.#rates.set(queueKey, rate);
    return rate;
  }

  /** Waiting requests with the same key that go before a new one. */
  #countAhead({ queueKey, onTimeUntil }: WaitingRequest, now: number): number {
    const isOnTime = onTimeUntil > now;
    return this.#waiting.filter((queued) => queued.queueKey === queueKey
      && (!isOnTime || (queued.onTimeUntil > now && queued.onTimeUntil <= onTimeUntil))).length;
  }

  #end(queued: QueuedRequest, outcome: WaitOutcome): void {
    this.#waiting = this.#waiting.filter((other) => other !== queued);
    if (!this.#waiting.some(({ queueKey }) => queueKey === queued.queueKey)) {
      this.#rateOf(queued.queueKey).recordEmpty();
    }
    if (this.#waiting.length === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
    queued.resolve(outcome);
  }
}

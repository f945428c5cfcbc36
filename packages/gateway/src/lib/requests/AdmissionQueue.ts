import type { Clock, ModelName } from '@dandelionlane/core';
import type Choice from '../choice/Choice.js';
import ServiceRate from './ServiceRate.js';
import type WaitOutcome from './WaitOutcome.js';

/** Time between two rounds, in ms: a place becomes free every 50 ms or so. */
const PERIOD_MILLISECONDS = 20;

/** Requests that may wait at once: above it a request is refused at once. */
const MAXIMUM_WAITING = 500;

/** A request that waits for a target. */
interface WaitingRequest {
  /** Requests of one queue are after the same targets. */
  readonly queueKey: string;
  /** Model that it is for. */
  readonly model: ModelName | null;
  /** Monotonic time until which it is on time, in ms. */
  readonly onTimeUntil: number;
  /** Monotonic time until which it waits, in ms. */
  readonly until: number;
  readonly signal: AbortSignal;
  /** Chooses a target now. */
  readonly choose: () => Choice;
}

/** A waiting request with what resolves it. */
interface Ticket extends WaitingRequest {
  readonly resolve: (outcome: WaitOutcome) => void;
}

/**
 * Requests for which no target is free now. They take turns: those that can still be on time first,
 * the most urgent of them first, then the others in the order in which they came.
 */
export default class AdmissionQueue {
  readonly #clock: Clock;

  #tickets: Ticket[] = [];

  readonly #rates = new Map<string, ServiceRate>();

  #timer: NodeJS.Timeout | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Requests that wait. */
  get size(): number {
    return this.#tickets.length;
  }

  /** Requests that wait for each model. */
  countByModel(): ReadonlyMap<ModelName, number> {
    const counts = new Map<ModelName, number>();
    this.#tickets.forEach(({ model }) => {
      if (model !== null) {
        counts.set(model, (counts.get(model) ?? 0) + 1);
      }
    });
    return counts;
  }

  /** Waits for a target, unless it is known that none will be free in time. */
  wait(request: WaitingRequest): Promise<WaitOutcome> {
    if (this.#tickets.length >= MAXIMUM_WAITING) {
      return Promise.resolve({ kind: 'unserved' });
    }
    const now = this.#clock.monotonicMilliseconds();
    const rate = this.#rateOf(request.queueKey);
    const expected = rate.estimateMilliseconds(this.#countBefore(request, now) + 1, now);
    if (expected !== null && now + expected > request.until) {
      return Promise.resolve({ kind: 'hopeless', retryAfterMilliseconds: expected });
    }
    rate.recordWaiting(now);
    return new Promise((resolve) => {
      this.#tickets.push({ ...request, resolve });
      this.#timer ??= setInterval(() => this.#round(new Set()), PERIOD_MILLISECONDS);
    });
  }

  /** Serves the next request of each queue that is not blocked; again once that request has been sent. */
  #round(blocked: Set<string>): void {
    const now = this.#clock.monotonicMilliseconds();
    this.#tickets.filter((ticket) => ticket.signal.aborted || now >= ticket.until)
      .forEach((ticket) => this.#end(ticket, { kind: 'unserved' }));
    for (const ticket of this.#inOrder(now)) {
      if (!blocked.has(ticket.queueKey)) {
        const choice = ticket.choose();
        if (choice.kind === 'chosen') {
          this.#rateOf(ticket.queueKey).recordServed(now);
          this.#end(ticket, { kind: 'served', choice });
          setImmediate(() => this.#round(blocked));
          return;
        }
        blocked.add(ticket.queueKey);
      }
    }
  }

  #inOrder(now: number): readonly Ticket[] {
    const urgent = this.#tickets.filter(({ onTimeUntil }) => onTimeUntil > now)
      .sort((left, right) => left.onTimeUntil - right.onTimeUntil);
    return [...urgent, ...this.#tickets.filter(({ onTimeUntil }) => onTimeUntil <= now)];
  }

  #rateOf(queueKey: string): ServiceRate {
    const rate = this.#rates.get(queueKey) ?? new ServiceRate();
    this.#rates.set(queueKey, rate);
    return rate;
  }

  /** Waiting requests of the same queue that go before a new one. */
  #countBefore({ queueKey, onTimeUntil }: WaitingRequest, now: number): number {
    const isOnTime = onTimeUntil > now;
    return this.#tickets.filter((ticket) => ticket.queueKey === queueKey
      && (!isOnTime || (ticket.onTimeUntil > now && ticket.onTimeUntil <= onTimeUntil))).length;
  }

  #end(ticket: Ticket, outcome: WaitOutcome): void {
    this.#tickets = this.#tickets.filter((other) => other !== ticket);
    if (!this.#tickets.some(({ queueKey }) => queueKey === ticket.queueKey)) {
      this.#rateOf(ticket.queueKey).recordEmpty();
    }
    if (this.#tickets.length === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
    ticket.resolve(outcome);
  }
}

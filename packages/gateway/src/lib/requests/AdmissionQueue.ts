import type { Clock, ModelName, TeamId } from '@dandelionlane/core';
import type { Metrics } from '@dandelionlane/telemetry';
import type AdmissionCandidate from '../admission/AdmissionCandidate.js';
import AdmissionOrder from '../admission/AdmissionOrder.js';
import clampPriority from '../admission/clampPriority.js';
import pickEvicted from '../admission/pickEvicted.js';
import type ModelTraffic from '../choice/ModelTraffic.js';
import type Choice from '../choice/Choice.js';
import ServiceRate from './ServiceRate.js';
import type WaitOutcome from './WaitOutcome.js';

/** Time between two rounds, in ms: a slot becomes free about every 50 ms. */
const PERIOD_MILLISECONDS = 20;

/** Limit on waiting requests: further ones are refused at once, unless one of the others gives way. */
const MAXIMUM_WAITING = 500;

/** Time for which the turns given to requests with a key are remembered, in ms: several longest waits. */
const MEMORY_MILLISECONDS = 10_000;

/** A request that waits for a target. */
interface WaitingRequest {
  /** Requests with the same key wait for the same targets. */
  readonly queueKey: string;
  /** Model that it requests. */
  readonly model: ModelName | null;
  /** 0, the default, is the most urgent. */
  readonly priority?: number;
  /** Null, the default, where it has none. */
  readonly team?: TeamId | null;
  /** Monotonic time until which it is on time, in ms. */
  readonly onTimeUntil: number;
  /** Monotonic time until which it waits, in ms. */
  readonly until: number;
  /** Whether a target has begun to serve it: it cannot be refused, and gives its place to no other. */
  readonly hasStarted?: boolean;
  readonly signal: AbortSignal;
  /** Chooses a target now. */
  readonly choose: () => Choice;
}

/** A waiting request with the callback that ends its wait. */
interface QueuedRequest extends WaitingRequest, AdmissionCandidate {
  readonly priority: number;
  readonly team: TeamId | null;
  readonly resolve: (outcome: WaitOutcome) => void;
}

/** The requests with one key. */
interface Line {
  readonly order: AdmissionOrder;
  readonly rate: ServiceRate;
}

function toCandidate(
  { priority = 0, team = null, onTimeUntil }: Pick<WaitingRequest, 'priority' | 'team' | 'onTimeUntil'>,
): AdmissionCandidate {
  return { priority: clampPriority(priority), team, onTimeUntil };
}

/**
 * Queue of the requests for which no target is free now. `AdmissionOrder` decides which one of those with
 * the same key goes next.
 */
export default class AdmissionQueue {
  readonly #clock: Clock;

  readonly #metrics: Metrics | null;

  #waiting: QueuedRequest[] = [];

  readonly #lines = new Map<string, Line>();

  #prunedAt = Number.NEGATIVE_INFINITY;

  #timer: NodeJS.Timeout | undefined;

  /** @param metrics Where the numbers of waiting requests go; null to keep no metrics. */
  constructor(clock: Clock, metrics: Metrics | null = null) {
    this.#clock = clock;
    this.#metrics = metrics;
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#waiting.length;
  }

  /** Numbers of requests of a model that wait. */
  count(model: ModelName): Pick<ModelTraffic, 'onTimeWaiting' | 'lateWaiting' | 'urgent'> {
    const now = this.#clock.monotonicMilliseconds();
    const waiting = this.#waiting.filter((queued) => queued.model === model);
    const onTime = waiting.filter(({ onTimeUntil }) => onTimeUntil > now);
    const priority = Math.min(...onTime.map((queued) => queued.priority));
    return {
      onTimeWaiting: onTime.length,
      lateWaiting: waiting.length - onTime.length,
      urgent: onTime.length === 0 ? null : {
        priority, onTimeWaiting: onTime.filter((queued) => queued.priority === priority).length,
      },
    };
  }

  /** Estimates the time to serve all requests with a key and one more, in ms; null while it is unknown. */
  estimateMilliseconds(queueKey: string): number | null {
    const now = this.#clock.monotonicMilliseconds();
    return this.#lines.get(queueKey)?.rate
      .estimateMilliseconds(this.#waitingWith(queueKey).length + 1, now) ?? null;
  }

  /** Share of a team in the turns of a priority while all teams that wait now ask for more. */
  teamShare(
    { queueKey, priority, team }: { readonly queueKey: string } & Pick<AdmissionCandidate, 'priority' | 'team'>,
  ): number {
    const ofPriority = this.#waitingWith(queueKey).filter((queued) => queued.priority === priority);
    return 1 / new Set([team, ...ofPriority.map((queued) => queued.team)]).size;
  }

  /**
   * Whether a new request has to wait for its turn even if a target is free: requests of another priority
   * wait, or a team that has had fewer turns than its own.
   */
  goesBehind(request: WaitingRequest): boolean {
    const waiting = this.#waitingWith(request.queueKey);
    return waiting.length > 0 && this.#lineOf(request.queueKey).order
      .goesBehind(waiting, toCandidate(request), this.#clock.monotonicMilliseconds());
  }

  /** Records that a target took a new request at once: where others wait, it had a turn before them. */
  recordUnqueued(request: WaitingRequest): void {
    const waiting = this.#waitingWith(request.queueKey);
    if (waiting.length > 0) {
      const now = this.#clock.monotonicMilliseconds();
      const candidate = toCandidate(request);
      const { order } = this.#lineOf(request.queueKey);
      order.recordArrival(candidate, now);
      order.recordTurn([...waiting, candidate], candidate, { wasServed: true, now });
    }
  }

  /**
   * Waits for a target, unless it is known that none will be free in time.
   * @param triesAtOnce Whether the request has not tried to get a target because it goes behind others.
   */
  wait(request: WaitingRequest, triesAtOnce = false): Promise<WaitOutcome> {
    const now = this.#clock.monotonicMilliseconds();
    const candidate = toCandidate(request);
    const choice = triesAtOnce ? this.#tryAtArrival({ ...request, ...candidate }, now) : null;
    if (choice !== null) {
      return Promise.resolve({ kind: 'served', choice });
    }
    const isFull = this.#waiting.length >= MAXIMUM_WAITING;
    const replaceable = this.#waiting.filter(({ hasStarted }) => hasStarted !== true);
    const evicted = isFull ? pickEvicted(replaceable, candidate, now) : undefined;
    if (isFull && evicted === undefined) {
      return Promise.resolve({ kind: 'unserved', full: 'queue' });
    }
    this.#prune(now);
    const { order, rate } = this.#lineOf(request.queueKey);
    const turns = order.countTurns(this.#waitingWith(request.queueKey), candidate, now);
    const expected = rate.estimateMilliseconds(turns, now);
    if (expected !== null && now + expected > request.until) {
      return Promise.resolve({ kind: 'rejected', retryAfterMilliseconds: expected });
    }
    if (evicted !== undefined) {
      this.#end(evicted, { kind: 'unserved', full: 'evicted' });
    }
    rate.recordWaiting(now);
    order.recordArrival(candidate, now);
    return new Promise((resolve) => {
      this.#waiting.push({ ...request, ...candidate, resolve });
      this.#recordCount(candidate.priority);
      this.#timer ??= setInterval(() => this.#round(new Set()), PERIOD_MILLISECONDS);
    });
  }

  /**
   * Gives the try at the arrival of a request to the latest one of those whose turn it is, which has the
   * most time left and is the most likely to fit. Tries only in rounds would serve too few: the first one
   * of a round often has too little time left. Returns the choice if the new request got a target.
   */
  #tryAtArrival(newcomer: WaitingRequest & AdmissionCandidate, now: number): Choice | null {
    const waiting = this.#waitingWith(newcomer.queueKey)
      .filter(({ signal, until }) => !signal.aborted && now < until);
    const { order } = this.#lineOf(newcomer.queueKey);
    const next = order.nextLatest([...waiting, newcomer], now);
    const queued = waiting.find((other) => other === next);
    if (queued !== undefined) {
      this.#giveTurn(queued, now);
      return null;
    }
    return this.#tryTurn(newcomer, [...waiting, newcomer], now);
  }

  /** Lets a waiting request try to get a target. Returns whether it did, which ends its wait. */
  #giveTurn(queued: QueuedRequest, now: number): boolean {
    const choice = this.#tryTurn(queued, this.#waitingWith(queued.queueKey), now);
    if (choice !== null) {
      this.#end(queued, { kind: 'served', choice });
    }
    return choice !== null;
  }

  /** Tries to get a target for a request. `waiting` includes it. Returns the choice, or null without one. */
  #tryTurn(
    request: WaitingRequest & AdmissionCandidate,
    waiting: readonly AdmissionCandidate[],
    now: number,
  ): Choice | null {
    const choice = request.choose();
    const wasServed = choice.kind === 'chosen';
    const { order, rate } = this.#lineOf(request.queueKey);
    order.recordTurn(waiting, request, { wasServed, now });
    if (wasServed) {
      rate.recordServed(now);
    }
    return wasServed ? choice : null;
  }

  /** Serves the next request that is not blocked by its key; continues once that request has been sent. */
  #round(blocked: Set<string>): void {
    const now = this.#clock.monotonicMilliseconds();
    this.#waiting.filter((queued) => queued.signal.aborted || now >= queued.until)
      .forEach((queued) => this.#end(queued, { kind: 'unserved', full: 'targets' }));
    for (const queued of this.#nextInOrder(now)) {
      if (!blocked.has(queued.queueKey)) {
        if (this.#giveTurn(queued, now)) {
          setImmediate(() => this.#round(blocked));
          return;
        }
        blocked.add(queued.queueKey);
      }
    }
  }

  /** The next request with each key: those on time by their deadlines, then the others by arrival. */
  #nextInOrder(now: number): readonly QueuedRequest[] {
    const keys = new Set(this.#waiting.map(({ queueKey }) => queueKey));
    const next = new Set([...keys].map((queueKey) => (
      this.#lineOf(queueKey).order.next(this.#waitingWith(queueKey), now)
    )));
    const byArrival = this.#waiting.filter((queued) => next.has(queued));
    const onTime = byArrival.filter(({ onTimeUntil }) => onTimeUntil > now)
      .sort((left, right) => left.onTimeUntil - right.onTimeUntil);
    return [...onTime, ...byArrival.filter(({ onTimeUntil }) => onTimeUntil <= now)];
  }

  /** Waiting requests with a key in order of arrival. */
  #waitingWith(queueKey: string): readonly QueuedRequest[] {
    return this.#waiting.filter((queued) => queued.queueKey === queueKey);
  }

  #lineOf(queueKey: string): Line {
    const line = this.#lines.get(queueKey) ?? { order: new AdmissionOrder(), rate: new ServiceRate() };
    this.#lines.set(queueKey, line);
    return line;
  }

  /** Forgets keys that have not been used for some time: callers name the models. */
  #prune(now: number): void {
    if (now - this.#prunedAt >= MEMORY_MILLISECONDS) {
      this.#prunedAt = now;
      const used = new Set(this.#waiting.map(({ queueKey }) => queueKey));
      [...this.#lines].filter(([queueKey, { order }]) => (
        !used.has(queueKey) && now - order.lastUsedAt >= MEMORY_MILLISECONDS
      )).forEach(([queueKey]) => this.#lines.delete(queueKey));
    }
  }

  #end(queued: QueuedRequest, outcome: WaitOutcome): void {
    this.#waiting = this.#waiting.filter((other) => other !== queued);
    this.#recordCount(queued.priority);
    if (!this.#waiting.some(({ queueKey }) => queueKey === queued.queueKey)) {
      this.#lineOf(queued.queueKey).rate.recordEmpty();
    }
    if (this.#waiting.length === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
    queued.resolve(outcome);
  }

  #recordCount(priority: number): void {
    const metrics = this.#metrics;
    if (metrics === null) {
      return;
    }
    const waiting = this.#waiting.filter((queued) => queued.priority === priority).length;
    metrics.gauge('gateway.waiting', waiting, [`priority:${priority}`]);
  }
}

import type { Clock, ModelName } from '@dandelionlane/core';
import type ModelTraffic from './ModelTraffic.js';
import NO_TRAFFIC from './NO_TRAFFIC.js';
import clampPriority from '../admission/clampPriority.js';

/** Window in which arrivals are counted, in ms. */
const WINDOW_MILLISECONDS = 1_000;

/** Shortest time since the start over which arrivals give a rate, in ms. */
const MINIMUM_WINDOW_MILLISECONDS = 200;

const MILLISECONDS_PER_SECOND = 1_000;

/** Time for which the priority of a request counts, in ms: groups move between models in about that time. */
const PRIORITY_WINDOW_MILLISECONDS = 10_000;

/** Streams of one model at this entry. */
interface Measurement {
  arrivedAt: number[];
  lateRunning: number;
  /** Monotonic time of the last request of each priority, in ms. */
  readonly requestedAt: Map<number, number>;
}

/** Measures the traffic of each model at this entry, besides the streams that wait. */
export default class TrafficMeter {
  readonly #clock: Clock;

  readonly #startedAt: number;

  readonly #measurements = new Map<ModelName, Measurement>();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAt = clock.monotonicMilliseconds();
  }

  /** Models whose streams have arrived here. */
  get models(): readonly ModelName[] {
    return [...this.#measurements.keys()];
  }

  /** Records the arrival of a stream that can be on time. */
  recordArrival(model: ModelName): void {
    this.#of(model).arrivedAt.push(this.#clock.monotonicMilliseconds());
  }

  /** Records the priority of a request, also of a late one. */
  recordPriority(model: ModelName, priority: number): void {
    this.#of(model).requestedAt.set(clampPriority(priority), this.#clock.monotonicMilliseconds());
  }

  /** Most urgent priority of a model's recent requests, 0 first; null if there were none. */
  mostUrgentPriority(model: ModelName): number | null {
    const now = this.#clock.monotonicMilliseconds();
    const recent = [...this.#of(model).requestedAt]
      .filter(([, at]) => now - at < PRIORITY_WINDOW_MILLISECONDS)
      .map(([priority]) => priority);
    return recent.length === 0 ? null : Math.min(...recent);
  }

  /** Records that a late stream is sent to a target. */
  recordLateStart(model: ModelName): void {
    this.#of(model).lateRunning += 1;
  }

  /** Records that a stream that was late when it was sent has ended there. */
  recordLateEnd(model: ModelName): void {
    this.#of(model).lateRunning -= 1;
  }

  /** Traffic of a model, without the streams that wait. */
  measure(model: ModelName): ModelTraffic {
    const now = this.#clock.monotonicMilliseconds();
    const measurement = this.#of(model);
    measurement.arrivedAt = measurement.arrivedAt.filter((at) => now - at < WINDOW_MILLISECONDS);
    const runningMilliseconds = Math.max(MINIMUM_WINDOW_MILLISECONDS, now - this.#startedAt);
    const window = Math.min(WINDOW_MILLISECONDS, runningMilliseconds);
    return {
      ...NO_TRAFFIC,
      lateRunning: measurement.lateRunning,
      arrivalsPerSecond: (measurement.arrivedAt.length * MILLISECONDS_PER_SECOND) / window,
    };
  }

  #of(model: ModelName): Measurement {
    const known = this.#measurements.get(model) ?? {
      arrivedAt: [], lateRunning: 0, requestedAt: new Map<number, number>(),
    };
    this.#measurements.set(model, known);
    return known;
  }
}

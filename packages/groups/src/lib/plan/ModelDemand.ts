import type { Clock, ModelName } from '@dandelionlane/core';
import TARGET_UTILIZATION from './TARGET_UTILIZATION.js';

/** Time constant of the moving average, in ms: short bursts must not use up spares. */
const SMOOTHING_TIME_CONSTANT_MILLISECONDS = 1_000;

/** Time constant of the slow moving average, in ms: it covers a burst and the pause after it. */
const SLOW_TIME_CONSTANT_MILLISECONDS = 10_000;

/**
 * Time for which demand lasts until it counts as standing, in ms. A move with the weights on the hosts takes
 * up to 2.5 s to close, 1.6 s to join and 0.3 s to open, and gains as much time again.
 */
const STANDING_MILLISECONDS = 10_000;

/** Resolution of the standing demand, in ms. */
const BUCKET_MILLISECONDS = 1_000;

/** Time after the first record that does not count as standing, in ms: links of a new holder come up then. */
const FIRST_STANDING_MILLISECONDS = 2_000;

/** Moving averages of the requests per model, and the number of replicas that they require. */
export default class ModelDemand {
  readonly #clock: Clock;

  readonly #means = new Map<ModelName, number>();

  readonly #slowMeans = new Map<ModelName, number>();

  /** Lowest fast mean of each model in each of the last buckets of time. */
  readonly #lowestMeans = new Map<ModelName, Map<number, number>>();

  readonly #priorities = new Map<ModelName, number>();

  #firstRecordedAt: number | null = null;

  #recordedAt: number | null = null;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records the requests that currently run on or wait for each model. */
  record(requests: ReadonlyMap<ModelName, number>): void {
    const now = this.#clock.monotonicMilliseconds();
    const elapsed = this.#recordedAt === null ? 0 : now - this.#recordedAt;
    this.#firstRecordedAt ??= now;
    this.#recordedAt = now;
    requests.forEach((count, model) => {
      const update = (means: Map<ModelName, number>, timeConstant: number) => {
        const before = means.get(model) ?? 0;
        means.set(model, before + (count - before) * (1 - Math.exp(-elapsed / timeConstant)));
      };
      update(this.#means, SMOOTHING_TIME_CONSTANT_MILLISECONDS);
      update(this.#slowMeans, SLOW_TIME_CONSTANT_MILLISECONDS);
      this.#recordLowest(model, now);
    });
  }

  /** Records the most urgent priority of each model's requests; models without one keep the last known. */
  recordPriorities(priorities: ReadonlyMap<ModelName, number>): void {
    priorities.forEach((priority, model) => this.#priorities.set(model, priority));
  }

  /** Most urgent priority of a model's requests, 0 first; null if none is known. */
  priorityOf(model: ModelName): number | null {
    return this.#priorities.get(model) ?? null;
  }

  /** Time for which requests have been recorded, in ms. */
  get measuredMilliseconds(): number {
    return (this.#recordedAt ?? 0) - (this.#firstRecordedAt ?? 0);
  }

  /** Requests that a model has had for some time without a break, so that a short burst does not count. */
  standingRequests(model: ModelName): number {
    const lowest = [...this.#lowestMeans.get(model)?.values() ?? []];
    return lowest.length === 0 ? 0 : Math.min(...lowest);
  }

  /** Requests that a model has now or has had on average, whichever are more. */
  highestRequests(model: ModelName): number {
    return Math.max(
      this.#meanOf(this.#means, SMOOTHING_TIME_CONSTANT_MILLISECONDS, model),
      this.#meanOf(this.#slowMeans, SLOW_TIME_CONSTANT_MILLISECONDS, model),
    );
  }

  /** Number of replicas that the requests of a model require. */
  countReplicas(model: ModelName, slots: number): number {
    return Math.ceil((this.#means.get(model) ?? 0) / (slots * TARGET_UTILIZATION));
  }

  /** Discards all measurements before a new term. */
  clear(): void {
    this.#means.clear();
    this.#slowMeans.clear();
    this.#lowestMeans.clear();
    this.#priorities.clear();
    this.#firstRecordedAt = null;
    this.#recordedAt = null;
  }

  #recordLowest(model: ModelName, now: number): void {
    if (this.measuredMilliseconds < FIRST_STANDING_MILLISECONDS) {
      return;
    }
    const bucket = Math.floor(now / BUCKET_MILLISECONDS);
    const lowest = this.#lowestMeans.get(model) ?? new Map<number, number>();
    const mean = this.#meanOf(this.#means, SMOOTHING_TIME_CONSTANT_MILLISECONDS, model);
    lowest.set(bucket, Math.min(mean, lowest.get(bucket) ?? mean));
    [...lowest.keys()].filter((key) => key <= bucket - STANDING_MILLISECONDS / BUCKET_MILLISECONDS)
      .forEach((key) => lowest.delete(key));
    this.#lowestMeans.set(model, lowest);
  }

  /** Moving average of a model, corrected for its start at 0. */
  #meanOf(means: ReadonlyMap<ModelName, number>, timeConstant: number, model: ModelName): number {
    const weight = 1 - Math.exp(-this.measuredMilliseconds / timeConstant);
    return weight === 0 ? 0 : (means.get(model) ?? 0) / weight;
  }
}

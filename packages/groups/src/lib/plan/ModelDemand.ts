import type { Clock, ModelName } from '@dandelionlane/core';

/** Time constant of the moving average for spares, in ms: short bursts must not use them up. */
const SMOOTHING_TIME_CONSTANT_MILLISECONDS = 1_000;

/** Time constant of the moving average for the models' shares of the workers, in ms: a load takes as long. */
const LEARNING_TIME_CONSTANT_MILLISECONDS = 5_000;

/** Time for which requests have to be seen before they say how the work is shared, in ms. */
const MINIMUM_LEARNING_MILLISECONDS = 5_000;

/** Target share of used slots per replica: concurrent streams slow each other down. */
const TARGET_UTILIZATION = 0.7;

/** Moving averages of the requests per model. */
export default class ModelDemand {
  readonly #clock: Clock;

  readonly #means = new Map<ModelName, number>();

  readonly #slowMeans = new Map<ModelName, number>();

  #recordedAt: number | null = null;

  /** Monotonic time of the first request, in ms. */
  #firstRequestAt: number | null = null;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records the requests that currently run on or wait for each model. */
  record(requests: ReadonlyMap<ModelName, number>): void {
    const now = this.#clock.monotonicMilliseconds();
    const elapsed = this.#recordedAt === null ? 0 : now - this.#recordedAt;
    this.#recordedAt = now;
    if ([...requests.values()].some((count) => count > 0)) {
      this.#firstRequestAt ??= now;
    }
    const update = (means: Map<ModelName, number>, timeConstant: number) => {
      const weight = 1 - Math.exp(-elapsed / timeConstant);
      requests.forEach((count, model) => {
        const before = means.get(model) ?? 0;
        means.set(model, before + (count - before) * weight);
      });
    };
    update(this.#means, SMOOTHING_TIME_CONSTANT_MILLISECONDS);
    update(this.#slowMeans, LEARNING_TIME_CONSTANT_MILLISECONDS);
  }

  /** Number of replicas that the requests of a model require. */
  countReplicas(model: ModelName, slots: number): number {
    return Math.ceil((this.#means.get(model) ?? 0) / (slots * TARGET_UTILIZATION));
  }

  /** Whether requests have been seen for long enough to say how the work is shared between models. */
  get isLearned(): boolean {
    return this.#firstRequestAt !== null
      && this.#clock.monotonicMilliseconds() - this.#firstRequestAt >= MINIMUM_LEARNING_MILLISECONDS;
  }

  /** Requests that run on or wait for a model, as a mean over several seconds. */
  meanRequests(model: ModelName): number {
    return this.#slowMeans.get(model) ?? 0;
  }

  /** Discards all measurements before a new term. */
  clear(): void {
    this.#means.clear();
    this.#slowMeans.clear();
    this.#recordedAt = null;
    this.#firstRequestAt = null;
  }
}

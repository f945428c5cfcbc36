import type { Clock, ModelName } from '@dandelionlane/core';

/** Time constant of the moving average, in ms: short bursts must not use up spares. */
const SMOOTHING_TIME_CONSTANT_MILLISECONDS = 1_000;

/** Target share of used slots per replica: concurrent streams slow each other down. */
const TARGET_UTILIZATION = 0.7;

/** Moving average of the requests per model, and the number of replicas that they require. */
export default class ModelDemand {
  readonly #clock: Clock;

  readonly #means = new Map<ModelName, number>();

  #recordedAt: number | null = null;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records the requests that currently run on or wait for each model. */
  record(requests: ReadonlyMap<ModelName, number>): void {
    const now = this.#clock.monotonicMilliseconds();
    const weight = this.#recordedAt === null
      ? 0 : 1 - Math.exp((this.#recordedAt - now) / SMOOTHING_TIME_CONSTANT_MILLISECONDS);
    this.#recordedAt = now;
    requests.forEach((count, model) => {
      const before = this.#means.get(model) ?? 0;
      this.#means.set(model, before + (count - before) * weight);
    });
  }

  /** Number of replicas that the requests of a model require. */
  countReplicas(model: ModelName, slots: number): number {
    return Math.ceil((this.#means.get(model) ?? 0) / (slots * TARGET_UTILIZATION));
  }

  /** Discards all measurements before a new term. */
  clear(): void {
    this.#means.clear();
    this.#recordedAt = null;
  }
}

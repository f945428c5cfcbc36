import type { Clock, ModelName } from '@dandelionlane/core';

/** Time constant of the mean, in ms: spares must not be spent on a burst that is over at once. */
const SMOOTHING_TIME_CONSTANT_MILLISECONDS = 1_000;

/** Share of its places up to which a replica is meant to be used: streams slow each other down. */
const TARGET_UTILIZATION = 0.7;

/** How many requests each model has over some time, and how many replicas that takes. */
export default class ModelDemand {
  readonly #clock: Clock;

  readonly #means = new Map<ModelName, number>();

  #recordedAt: number | null = null;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes in the requests that run at each model or wait for it now. */
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

  /** Replicas that the requests of a model take. */
  countReplicas(model: ModelName, slots: number): number {
    return Math.ceil((this.#means.get(model) ?? 0) / (slots * TARGET_UTILIZATION));
  }

  /** Forgets what was measured, before a new term. */
  clear(): void {
    this.#means.clear();
    this.#recordedAt = null;
  }
}

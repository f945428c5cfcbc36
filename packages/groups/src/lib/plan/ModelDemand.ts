import type { Clock, ModelName } from '@dandelionlane/core';

/** Time constant of the mean, in ms: spares must not be spent on a burst that is over at once. */
const SMOOTHING_MILLISECONDS = 1_000;

/** Share of its places in use from which a model is short of replicas. */
const SHORT_SHARE = 0.7;

/** Share of its places in use below which a model that was short no longer is. */
const RELIEVED_SHARE = 0.45;

/** Largest share that counts: what waits for a model without replicas has no bound. */
const LARGEST_SHARE = 2;

/** Which models are short of replicas, by the share of their places in use over some time. */
export default class ModelDemand {
  readonly #clock: Clock;

  readonly #means = new Map<ModelName, number>();

  readonly #short = new Set<ModelName>();

  #notedAt: number | null = null;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Models that are short of replicas. */
  get short(): ReadonlySet<ModelName> {
    return this.#short;
  }

  /** Takes in the share of each model's places that is in use or asked for now. */
  note(shares: ReadonlyMap<ModelName, number>): void {
    const now = this.#clock.monotonicMilliseconds();
    const weight = this.#notedAt === null
      ? 0 : 1 - Math.exp((this.#notedAt - now) / SMOOTHING_MILLISECONDS);
    this.#notedAt = now;
    shares.forEach((share, model) => {
      const before = this.#means.get(model) ?? 0;
      const mean = before + (Math.min(share, LARGEST_SHARE) - before) * weight;
      this.#means.set(model, mean);
      if (mean >= SHORT_SHARE) {
        this.#short.add(model);
      } else if (mean < RELIEVED_SHARE) {
        this.#short.delete(model);
      }
    });
  }

  /** Forgets what was measured, before a new term. */
  clear(): void {
    this.#means.clear();
    this.#short.clear();
    this.#notedAt = null;
  }
}

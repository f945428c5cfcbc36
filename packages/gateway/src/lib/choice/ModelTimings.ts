import type { ModelName } from '@dandelionlane/core';
import { decodePassMilliseconds, type EngineProfile } from '@dandelionlane/fleet';
import type ModelTiming from './ModelTiming.js';

/** Passes until the first event, before any has been measured: the one under way, reading, writing. */
const INITIAL_PASSES = 3;

/** Time that a stream takes, before any has been measured, in ms. */
const INITIAL_RUN_MILLISECONDS = 1_000;

/** Step by which the median follows each sample, in ms. */
const MEDIAN_STEP_MILLISECONDS = 2;

/** What is added to the step of the first sample, in ms; it shrinks with each further one. */
const FIRST_STEP_MILLISECONDS = 40;

/** Weight of the newest stream in the mean. */
const RUN_WEIGHT = 0.05;

/** Learns the times of models from own streams. */
export default class ModelTimings {
  readonly #timings = new Map<ModelName | null, ModelTiming>();

  /** Samples of first events. */
  readonly #samples = new Map<ModelName | null, number>();

  of(engine: EngineProfile, model: ModelName | null): ModelTiming {
    const known = this.#timings.get(model);
    if (known !== undefined) {
      return known;
    }
    const timing = {
      firstEventMilliseconds: decodePassMilliseconds(engine, model, 0) * INITIAL_PASSES,
      runMilliseconds: INITIAL_RUN_MILLISECONDS,
    };
    this.#timings.set(model, timing);
    return timing;
  }

  /** @param milliseconds Time to a first event, less the time that the reading of prompts took. */
  firstEvent(model: ModelName | null, milliseconds: number): void {
    const timing = this.#timings.get(model);
    if (timing !== undefined) {
      const samples = (this.#samples.get(model) ?? 0) + 1;
      this.#samples.set(model, samples);
      const step = MEDIAN_STEP_MILLISECONDS + FIRST_STEP_MILLISECONDS / samples;
      const change = Math.sign(milliseconds - timing.firstEventMilliseconds) * step;
      this.#timings.set(model, {
        ...timing, firstEventMilliseconds: Math.max(0, timing.firstEventMilliseconds + change),
      });
    }
  }

  /** @param milliseconds Time that a whole stream took. */
  ended(model: ModelName | null, milliseconds: number): void {
    const timing = this.#timings.get(model);
    if (timing !== undefined) {
      const change = (milliseconds - timing.runMilliseconds) * RUN_WEIGHT;
      this.#timings.set(model, { ...timing, runMilliseconds: timing.runMilliseconds + change });
    }
  }
}

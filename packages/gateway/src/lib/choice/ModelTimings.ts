import type { ModelName } from '@dandelionlane/core';
import { decodePassMilliseconds, type EngineProfile } from '@dandelionlane/fleet';
import type ModelTiming from './ModelTiming.js';

/** Engine passes until the first event while there are no samples: the one under way, prefill, decode. */
const INITIAL_PASSES = 3;

/** Duration of a stream while there are no samples, in ms. */
const INITIAL_STREAM_MILLISECONDS = 1_000;

/** Step by which each sample moves the median, in ms. */
const MEDIAN_STEP_MILLISECONDS = 2;

/** Addition to the step of the first sample, in ms; it shrinks with each further sample. */
const EXTRA_FIRST_STEP_MILLISECONDS = 40;

/** Weight of the newest stream in the mean. */
const STREAM_WEIGHT = 0.05;

/** Estimates the latencies of models from the streams of this entry. */
export default class ModelTimings {
  readonly #timings = new Map<ModelName | null, ModelTiming>();

  /** Number of samples of the time to the first event. */
  readonly #sampleCounts = new Map<ModelName | null, number>();

  of(engine: EngineProfile, model: ModelName | null): ModelTiming {
    const known = this.#timings.get(model);
    if (known !== undefined) {
      return known;
    }
    const timing = {
      firstEventMilliseconds: decodePassMilliseconds(engine, model, 0) * INITIAL_PASSES,
      streamMilliseconds: INITIAL_STREAM_MILLISECONDS,
    };
    this.#timings.set(model, timing);
    return timing;
  }

  /** @param milliseconds Time to a first event, excluding prefill. */
  recordFirstEvent(model: ModelName | null, milliseconds: number): void {
    const timing = this.#timings.get(model);
    if (timing !== undefined) {
      const samples = (this.#sampleCounts.get(model) ?? 0) + 1;
      this.#sampleCounts.set(model, samples);
      const step = MEDIAN_STEP_MILLISECONDS + EXTRA_FIRST_STEP_MILLISECONDS / samples;
      const change = Math.sign(milliseconds - timing.firstEventMilliseconds) * step;
      this.#timings.set(model, {
        ...timing, firstEventMilliseconds: Math.max(0, timing.firstEventMilliseconds + change),
      });
    }
  }

  /** @param milliseconds Duration of a complete stream. */
  recordCompletion(model: ModelName | null, milliseconds: number): void {
    const timing = this.#timings.get(model);
    if (timing !== undefined) {
      const change = (milliseconds - timing.streamMilliseconds) * STREAM_WEIGHT;
      this.#timings.set(model, { ...timing, streamMilliseconds: timing.streamMilliseconds + change });
    }
  }
}

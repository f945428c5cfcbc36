import type ModelProfile from './ModelProfile.js';

/** What the configuration says of the engine of a model service. */
export default interface EngineProfile {
  /** Requests that one replica runs at once. */
  readonly slots: number;
  readonly models: readonly ModelProfile[];
  /** Loads from the shared store that may start a second. */
  readonly loadsPerSecond: number;
  /** Prompt tokens that one replica reads a second. */
  readonly promptTokensPerSecond: number;
  /** Duration of one token step without any request, in ms. */
  readonly stepMilliseconds: number;
  /** What each writing request adds to a step, in ms. */
  readonly stepMillisecondsPerRequest: number;
  /** Token steps of one pass of the engine; a stream gets its tokens once a pass. */
  readonly stepsPerPass: number;
  /** Age of the figures in a worker's report, in ms. */
  readonly reportLagMilliseconds: number;
}

import type ModelProfile from './ModelProfile.js';

/** Configuration of the engine of a model service. */
export default interface EngineProfile {
  /** Requests that one replica runs concurrently. */
  readonly slots: number;
  readonly models: readonly ModelProfile[];
  /** Maximum weight loads from the shared store that may start per second. */
  readonly loadsPerSecond: number;
  /** Prompt tokens that one replica prefills per second. */
  readonly promptTokensPerSecond: number;
  /** Duration of one token step without any request, in ms. */
  readonly stepMilliseconds: number;
  /** Time that each decoding request adds to a step, in ms. */
  readonly stepMillisecondsPerRequest: number;
  /** Token steps per pass of the engine; a stream receives its tokens once per pass. */
  readonly stepsPerPass: number;
  /** Age of the figures in a worker's report, in ms. */
  readonly reportLagMilliseconds: number;
}

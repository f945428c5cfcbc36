import type { EngineProfile } from '@dandelionlane/fleet';

/** An engine with the given models and no report lag. */
export default function createEngine(slots: number, models: EngineProfile['models']): EngineProfile {
  return {
    slots,
    models,
    loadsPerSecond: 100,
    promptTokensPerSecond: 1,
    stepMilliseconds: 1,
    stepMillisecondsPerRequest: 0,
    stepsPerPass: 1,
    reportLagMilliseconds: 0,
  };
}

import type { ModelName } from '@dandelionlane/core';
import type EngineProfile from '../configuration/EngineProfile.js';
import paceOf from './paceOf.js';

/** Duration of one engine pass in ms that decodes the given number of requests without any prefill. */
export default function decodePassMilliseconds(
  engine: EngineProfile,
  model: ModelName | null,
  requests: number,
): number {
  const step = engine.stepMilliseconds + engine.stepMillisecondsPerRequest * requests;
  return engine.stepsPerPass * step * paceOf(engine, model);
}

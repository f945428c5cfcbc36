import type { ModelName } from '@dandelionlane/core';
import type EngineProfile from '../configuration/EngineProfile.js';
import paceOf from './paceOf.js';

/** Time in ms that one pass of an engine takes while it writes for so many requests and reads no prompt. */
export default function decodePassMilliseconds(
  engine: EngineProfile,
  model: ModelName | null,
  requests: number,
): number {
  const step = engine.stepMilliseconds + engine.stepMillisecondsPerRequest * requests;
  return engine.stepsPerPass * step * paceOf(engine, model);
}

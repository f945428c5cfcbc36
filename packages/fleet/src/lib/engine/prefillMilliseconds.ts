import type { ModelName } from '@dandelionlane/core';
import type EngineProfile from '../configuration/EngineProfile.js';
import paceOf from './paceOf.js';

const MILLISECONDS = 1_000;

/** Time in ms that a replica takes to prefill the given number of prompt tokens. */
export default function prefillMilliseconds(
  engine: EngineProfile,
  model: ModelName | null,
  promptTokens: number,
): number {
  return (promptTokens / engine.promptTokensPerSecond) * MILLISECONDS * paceOf(engine, model);
}

import type { ModelName } from '@dandelionlane/core';
import type EngineProfile from '../configuration/EngineProfile.js';

/** Factor on all durations of a model's replicas; 1 for an unknown model. */
export default function paceOf(engine: EngineProfile, model: ModelName | null): number {
  return engine.models.find(({ name }) => name === model)?.pace ?? 1;
}

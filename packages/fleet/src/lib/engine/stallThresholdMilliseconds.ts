import type { ModelName } from '@dandelionlane/core';
import type EngineProfile from '../configuration/EngineProfile.js';
import decodePassMilliseconds from './decodePassMilliseconds.js';
import prefillMilliseconds from './prefillMilliseconds.js';

/** Passes without an event that are still normal. */
const NORMAL_PASSES = 2;

/** Margin for delayed events and for prompts of other entries that are not reported yet, in ms. */
const DELIVERY_MARGIN_MILLISECONDS = 90;

/**
 * Maximum time in ms for which a healthy group may deliver no event to any of its streams. Assumes the
 * slowest case: a group that decodes in all its slots and prefills prompts in between.
 * @param unreadTokens Prompt tokens that the group may still have to prefill.
 */
export default function stallThresholdMilliseconds(
  engine: EngineProfile,
  model: ModelName | null,
  unreadTokens: number,
): number {
  return decodePassMilliseconds(engine, model, engine.slots) * NORMAL_PASSES
    + prefillMilliseconds(engine, model, unreadTokens) + DELIVERY_MARGIN_MILLISECONDS;
}

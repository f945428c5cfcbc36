import type { ModelName } from '@dandelionlane/core';
import type EngineProfile from '../configuration/EngineProfile.js';
import decodePassMilliseconds from './decodePassMilliseconds.js';
import prefillMilliseconds from './prefillMilliseconds.js';

/** Passes of an engine without an event that are nothing unusual. */
const USUAL_PASSES = 2;

/** Time that events may be late on their way, with prompts of other entries not heard of yet, in ms. */
const DELIVERY_MARGIN_MILLISECONDS = 90;

/**
 * Longest time in ms for which a healthy group may bring no event to any of its streams. A group
 * that writes for all its places takes longest, and reads prompts in between.
 * @param unreadTokens Tokens of prompts that the group may still have to read.
 */
export default function stallThresholdMilliseconds(
  engine: EngineProfile,
  model: ModelName | null,
  unreadTokens: number,
): number {
  return decodePassMilliseconds(engine, model, engine.slots) * USUAL_PASSES
    + prefillMilliseconds(engine, model, unreadTokens) + DELIVERY_MARGIN_MILLISECONDS;
}

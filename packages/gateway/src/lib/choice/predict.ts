import { decodePassMilliseconds, prefillMilliseconds } from '@dandelionlane/fleet';
import type LoadedCandidate from './LoadedCandidate.js';
import type Prediction from './Prediction.js';
import type StreamNeed from './StreamNeed.js';

/**
 * Predicts how a stream would fare at a target: the engine reads all prompts that it has, and a
 * request beyond the places waits until a running one ends.
 */
export default function predict(
  { candidate: { slots }, load, unreadTokens }: LoadedCandidate,
  {
    engine, model, timing, promptTokens,
  }: StreamNeed,
): Prediction {
  const reading = prefillMilliseconds(engine, model, unreadTokens + promptTokens);
  const waiting = Math.max(0, load + 1 - slots) * (timing.runMilliseconds / slots);
  return {
    firstEventMilliseconds: timing.firstEventMilliseconds + reading + waiting,
    readingMilliseconds: reading,
    waitingMilliseconds: waiting,
    pauseMilliseconds: decodePassMilliseconds(engine, model, Math.min(load + 1, slots)) + reading,
  };
}

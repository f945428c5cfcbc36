import { passMilliseconds, readingMilliseconds } from '@dandelionlane/fleet';
import type LoadedCandidate from './LoadedCandidate.js';
import type LatencyPrediction from './LatencyPrediction.js';
import type StreamRequirements from './StreamRequirements.js';

/**
 * Predicts how a stream would fare at a target: the engine reads all prompts that it has, and a
 * request beyond the places waits until a running one ends.
 */
export default function predictLatency(
  { candidate: { slots }, load, unreadTokens }: LoadedCandidate,
  {
    engine, model, timing, promptTokens,
  }: StreamRequirements,
): LatencyPrediction {
  const reading = readingMilliseconds(engine, model, unreadTokens + promptTokens);
  const waiting = Math.max(0, load + 1 - slots) * (timing.streamMilliseconds / slots);
  return {
    firstEventMilliseconds: timing.firstEventMilliseconds + reading + waiting,
    prefillMilliseconds: reading,
    queueMilliseconds: waiting,
    pauseMilliseconds: passMilliseconds(engine, model, Math.min(load + 1, slots)) + reading,
  };
}

import { decodePassMilliseconds, prefillMilliseconds } from '@dandelionlane/fleet';
import type LoadedCandidate from './LoadedCandidate.js';
import type LatencyPrediction from './LatencyPrediction.js';
import type StreamRequirements from './StreamRequirements.js';

/**
 * Predicts the latency of a stream at a target: the engine prefills all prompts that it has, and a
 * request beyond its slots waits until a running one ends.
 * @param slowdown Factor by which the target is slower than configured.
 */
export default function predictLatency(
  { candidate: { slots }, load, unreadTokens }: LoadedCandidate,
  {
    engine, model, timing, promptTokens,
  }: StreamRequirements,
  slowdown = 1,
): LatencyPrediction {
  const prefill = prefillMilliseconds(engine, model, unreadTokens + promptTokens) * slowdown;
  const queueing = Math.max(0, load + 1 - slots) * (timing.streamMilliseconds / slots) * slowdown;
  return {
    firstEventMilliseconds: timing.firstEventMilliseconds * slowdown + prefill + queueing,
    prefillMilliseconds: prefill,
    queueMilliseconds: queueing,
    pauseMilliseconds: decodePassMilliseconds(engine, model, Math.min(load + 1, slots)) * slowdown + prefill,
    slowdown,
  };
}

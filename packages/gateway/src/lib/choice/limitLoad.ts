import predictLatency from './predictLatency.js';
import type LoadedCandidate from './LoadedCandidate.js';
import type StreamRequirements from './StreamRequirements.js';

/** Steps in which the limit is sought: the ranges of load that `TargetSpeed` tells apart. */
const RANGES = [1, 0.75, 0.5, 0.25] as const;

/**
 * Requests in flight up to which streams at a target are predicted to be on time; 0 if none would be. A
 * target that is as fast as configured takes its slots.
 * @param base Slowdown at which a target counts as fast as configured.
 */
export default function limitLoad(
  item: LoadedCandidate,
  requirements: StreamRequirements,
  base: number,
): number {
  const { candidate: { state, slots } } = item;
  if (state.slowdownAt(slots, slots) <= base) {
    return slots;
  }
  const { firstEventBudgetMilliseconds, targetGapMilliseconds } = requirements;
  const learned = Math.floor(Math.min(slots, state.speed.limit));
  const loads = [...RANGES.map((share) => Math.floor(slots * share)), learned]
    .sort((left, right) => right - left);
  return loads.find((requests) => {
    const load = Math.max(0, requests - 1);
    const slowdown = Math.max(1, state.slowdownAt(load + 1, slots) / base);
    const prediction = predictLatency({ ...item, load }, requirements, slowdown);
    return slowdown === 1 || (prediction.firstEventMilliseconds <= firstEventBudgetMilliseconds
      && prediction.pauseMilliseconds <= (targetGapMilliseconds ?? Number.POSITIVE_INFINITY));
  }) ?? 0;
}

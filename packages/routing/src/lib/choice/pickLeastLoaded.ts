import type { RandomSource } from '@dandelionlane/core';
import type ScoredTarget from './ScoredTarget.js';

/** Picks the candidate with the fewest tokens, at random among equals. */
export default function pickLeastLoaded(
  scored: readonly ScoredTarget[],
  random: RandomSource,
): ScoredTarget | undefined {
  let least: ScoredTarget | undefined;
  let equals = 0;
  for (const candidate of scored) {
    if (least === undefined || candidate.tokens < least.tokens) {
      least = candidate;
      equals = 1;
    } else if (candidate.tokens === least.tokens) {
      equals += 1;
      if (random.next() * equals < 1) {
        least = candidate;
      }
    }
  }
  return least;
}

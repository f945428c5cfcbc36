import type { RandomSource } from '@dandelionlane/core';
import type PlannedFault from './PlannedFault.js';

const SHORTEST_AGE_MILLISECONDS = 300;
const LONGEST_AGE_MILLISECONDS = 3_000;

/**
 * Draws returns of the store from a copy, spread over a soak. They are drawn apart from the other
 * faults, so that a seed draws these as it did before.
 */
export default function planRestorations(
  milliseconds: number,
  restorations: number,
  random: RandomSource,
): readonly PlannedFault[] {
  return Array.from({ length: restorations }, (_, index): PlannedFault => ({
    fault: { kind: 'store-restored' },
    atMilliseconds: Math.round((milliseconds * (index + random.next())) / restorations),
    forMilliseconds: Math.round(
      SHORTEST_AGE_MILLISECONDS + (LONGEST_AGE_MILLISECONDS - SHORTEST_AGE_MILLISECONDS) * random.next(),
    ),
  }));
}

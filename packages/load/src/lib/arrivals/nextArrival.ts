import type { RandomSource } from '@dandelionlane/core';

const MILLISECONDS_PER_SECOND = 1_000;

/** Milliseconds to the next arrival of a Poisson process. */
export default function nextArrival(ratePerSecond: number, random: RandomSource): number {
  // 1 - u is above 0, so the logarithm is finite.
  return (-Math.log(1 - random.next()) / ratePerSecond) * MILLISECONDS_PER_SECOND;
}

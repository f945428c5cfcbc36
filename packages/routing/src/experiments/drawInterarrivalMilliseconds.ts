import type { RandomSource } from '@dandelionlane/core';

/** Draws the time to the next arrival of a Poisson process, in milliseconds. */
export default function drawInterarrivalMilliseconds(random: RandomSource, perSecond: number): number {
  return (-Math.log(1 - random.next()) * 1_000) / perSecond;
}

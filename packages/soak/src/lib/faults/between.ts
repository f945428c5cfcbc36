import type { RandomSource } from '@dandelionlane/core';

/** Draws a whole number between two bounds. */
export default function between(shortest: number, longest: number, random: RandomSource): number {
  return Math.round(shortest + (longest - shortest) * random.next());
}

import type { RandomSource } from '@dandelionlane/core';

/** A copy of the items in random order (Fisher-Yates). */
export default function shuffle<Item>(items: readonly Item[], random: RandomSource): Item[] {
  const shuffled = [...items];
  for (let last = shuffled.length - 1; last > 0; last -= 1) {
    const other = Math.floor(random.next() * (last + 1));
    [shuffled[last], shuffled[other]] = [shuffled[other]!, shuffled[last]!];
  }
  return shuffled;
}

import type { RandomSource } from '@dandelionlane/core';
import shuffle from './shuffle.js';

/** Up to `count` random items, without replacement. */
export default function sample<Item>(
  items: readonly Item[],
  count: number,
  random: RandomSource,
): readonly Item[] {
  if (count === 1 && items.length > 0) {
    return [items[Math.floor(random.next() * items.length)]!];
  }
  return shuffle(items, random).slice(0, count);
}

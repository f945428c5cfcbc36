import type { RandomSource } from '@dandelionlane/core';

/** Picks an item with a chance in proportion to its weight. */
export default function pickWeighted<Item extends { readonly weight: number }>(
  items: readonly [Item, ...Item[]],
  random: RandomSource,
): Item {
  let left = random.next() * items.reduce((total, { weight }) => total + weight, 0);
  for (const item of items) {
    left -= item.weight;
    if (left < 0) {
      return item;
    }
  }
  return items[0];
}

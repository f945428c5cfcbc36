import type { RandomSource } from '@dandelionlane/core';

/** Draws one of some items. */
export default function pick<Item>(items: readonly Item[], random: RandomSource): Item {
  const item = items[Math.floor(random.next() * items.length)];
  if (item === undefined) {
    throw new Error('nothing to pick from');
  }
  return item;
}

import type { RandomSource } from '@dandelionlane/core';

/** Tries of a queue until a stream that it has sent shows in the loads at the other entries. */
const TRIES_UNTIL_SHARED = 10;

/** Inputs of `drawSlot`. */
interface SlotDraw {
  /** Free slots over all targets. */
  readonly free: number;
  /** Streams that wait at this entry. */
  readonly own: number;
  /** Streams that wait at all entries. */
  readonly all: number;
  readonly random: RandomSource;
}

/**
 * Draws whether a stream may take one of the free slots. All entries see the same slots at once: where
 * more streams wait than fit, each entry takes its share of the slots, spread over its tries.
 */
export default function drawSlot({
  free, own, all, random,
}: SlotDraw): boolean {
  if (all <= free) {
    return true;
  }
  const expected = (free * Math.max(1, own)) / (all * TRIES_UNTIL_SHARED);
  // A queue draws again after each stream that it has sent.
  return random.next() < expected / (1 + expected);
}

import type { FencingNumber } from '@dandelionlane/core';

/** Preconditions of an order. */
export default interface OrderStamp {
  readonly fencing: FencingNumber;
  /** Exact number of orders that this instance must have accepted so far; otherwise it refuses the order. */
  readonly expectedSequence: number;
}

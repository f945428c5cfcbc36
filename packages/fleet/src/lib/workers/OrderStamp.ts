import type { FencingNumber } from '@dandelionlane/core';

/** Preconditions of an order. */
export default interface OrderStamp {
  readonly fencing: FencingNumber;
  /** The order is refused unless the worker has accepted exactly this many orders in its life. */
  readonly expectedSequence: number;
}

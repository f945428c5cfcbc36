import type { IdempotencyKey } from '@dandelionlane/core';

/** A booking that runs at most once. Calls with the same key have the same slot. */
export default interface PlannedKeyed {
  readonly kind: 'keyed';
  readonly key: IdempotencyKey;
  readonly slot: string;
  readonly delayMilliseconds: number;
}

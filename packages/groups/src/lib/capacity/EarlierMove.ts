import type { ModelName } from '@dandelionlane/core';

/** A move that has ended with new groups of the receiver. */
export default interface EarlierMove {
  readonly donor: ModelName;
  readonly receiver: ModelName;
  /** Time since its end, in ms. */
  readonly ageMilliseconds: number;
}

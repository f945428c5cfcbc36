import type { ModelName } from '@dandelionlane/core';

/** What the configuration says of one model of an engine. */
export default interface ModelProfile {
  readonly name: ModelName;
  /** Workers that form one replica. */
  readonly groupSize: number;
  /** Expected share of the work, 0 to 1. */
  readonly workShare: number;
  /** Factor on all times of a replica. */
  readonly pace: number;
  /** Time to load the weights from the shared store, in ms. */
  readonly loadMilliseconds: number;
  /** Time to load weights that the worker's host already has, in ms. */
  readonly warmLoadMilliseconds: number;
}

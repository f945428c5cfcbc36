import type { ModelName } from '@dandelionlane/core';

/** What the configuration says of one model of an engine. */
export default interface ModelProfile {
  readonly name: ModelName;
  /** Workers that form one replica. */
  readonly groupSize: number;
  /** Factor on all times of a replica. */
  readonly pace: number;
  /** Part of the service's work that the model is expected to have: of the workers, not of the replicas. */
  readonly workShare: number;
}

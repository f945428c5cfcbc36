import type { ModelName } from '@dandelionlane/core';

/** Configuration of one model of an engine. */
export default interface ModelProfile {
  readonly name: ModelName;
  /** Workers that form one replica. */
  readonly groupSize: number;
  /** Factor on all durations of a replica. */
  readonly pace: number;
  /** Expected share of the service's work, as a share of its workers rather than of its replicas. */
  readonly workShare: number;
}

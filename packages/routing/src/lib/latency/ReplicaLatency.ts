import type { ReplicaId } from '@dandelionlane/core';

/** Average latency of one replica over its recent answers. */
export default interface ReplicaLatency {
  readonly replica: ReplicaId;
  readonly milliseconds: number;
  readonly samples: number;
}

import type { AvailabilityZoneId, ReplicaId } from '@dandelionlane/core';

/** The properties of a request that the choice of its target depends on. */
export default interface RequestView {
  /** Zone of the entry that chooses the target. */
  readonly availabilityZone: AvailabilityZoneId;
  /** Hash of the prompt prefix; null for calls without a prompt. */
  readonly prefixHash: number | null;
  /** Estimated tokens of prompt and answer together. */
  readonly estimatedTokens: number;
  /** Replicas of earlier attempts. They are not chosen again. */
  readonly tried: readonly ReplicaId[];
  /** Whether it may probe an ejected target; only for repeatable calls. */
  readonly mayProbe: boolean;
}

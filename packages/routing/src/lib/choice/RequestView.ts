import type { AvailabilityZoneId, ReplicaId } from '@dandelionlane/core';

/** What a choice of target needs to know of a request. */
export default interface RequestView {
  /** Zone of the entry that chooses. */
  readonly availabilityZone: AvailabilityZoneId;
  /** Hash of the beginning of the prompt; null for calls without a prompt. */
  readonly prefixHash: number | null;
  /** Estimated tokens of work, prompt and answer together. */
  readonly estimatedTokens: number;
  /** Replicas that the request has been sent to before. They are not chosen again. */
  readonly tried: readonly ReplicaId[];
  /** Whether it may be used to probe an ejected target: only what may be repeated. */
  readonly mayProbe: boolean;
}

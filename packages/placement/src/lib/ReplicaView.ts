import type {
  AvailabilityZoneId, FabricDomainId, Replica,
} from '@dandelionlane/core';
import type DrainReason from './DrainReason.js';
import type MemberCondition from './MemberCondition.js';

/** A replica as one plan judges it. */
export default interface ReplicaView {
  readonly replica: Replica;
  readonly stateMilliseconds: number;
  readonly availabilityZone: AvailabilityZoneId;
  readonly fabricDomain: FabricDomainId;
  /** Condition of each member, in the order of `replica.members`. */
  readonly conditions: readonly MemberCondition[];
  /** Why operators or the platform want the replica off its VMs, or null. */
  readonly outOfServiceReason: DrainReason | null;
  /** Whether the version or the shape differs from the wanted one. */
  readonly isOutdated: boolean;
  /** Whether a member is missing for longer than a short silence. */
  readonly isBroken: boolean;
  /** Whether every member reports that it serves this replica. */
  readonly isReady: boolean;
  /** Whether the replica can be expected to bear full load. */
  readonly isWarm: boolean;
  /** Whether no member may still run a request. */
  readonly isIdle: boolean;
}

import type {
  AvailabilityZoneId, FabricDomainId, Replica,
} from '@dandelionlane/core';
import type DrainReason from './DrainReason.js';
import type MemberCondition from './MemberCondition.js';

/** State of a replica as evaluated for one plan. */
export default interface ReplicaView {
  readonly replica: Replica;
  readonly stateMilliseconds: number;
  readonly availabilityZone: AvailabilityZoneId;
  readonly fabricDomain: FabricDomainId;
  /** Condition of each member, in the order of `replica.members`. */
  readonly conditions: readonly MemberCondition[];
  /** Why operators or the platform take one of the replica's VMs out of service, or null. */
  readonly outOfServiceReason: DrainReason | null;
  /** Whether the version or the shape differs from the wanted one. */
  readonly isOutdated: boolean;
  /** Whether a member is missing, not counting brief gaps in its reports. */
  readonly isBroken: boolean;
  /** Whether every member reports that it serves this replica. */
  readonly isReady: boolean;
  /** Whether the replica is expected to handle its full load. */
  readonly isWarm: boolean;
  /** Whether no member can still have a request in flight. */
  readonly isIdle: boolean;
}

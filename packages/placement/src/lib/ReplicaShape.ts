import type { ServiceDefinition, ServiceId } from '@dandelionlane/core';

/** What a replica of a service needs of its VMs. */
export default interface ReplicaShape {
  readonly kind: ServiceDefinition['kind'];
  readonly service: ServiceId;
  readonly version: string;
  readonly vmsPerReplica: number;
  readonly acceleratorsPerVM: number;
}

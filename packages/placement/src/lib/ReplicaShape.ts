import type { ServiceDefinition, ServiceId } from '@dandelionlane/core';

/** Requirements of a service's replica on its VMs. */
export default interface ReplicaShape {
  readonly kind: ServiceDefinition['kind'];
  readonly service: ServiceId;
  readonly version: string;
  readonly vmsPerReplica: number;
  readonly acceleratorsPerVM: number;
}

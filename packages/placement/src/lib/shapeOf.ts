import type { ServiceDefinition } from '@dandelionlane/core';
import type ReplicaShape from './ReplicaShape.js';

/** Requirements of the service's replicas on their VMs. */
export default function shapeOf(definition: ServiceDefinition): ReplicaShape {
  return {
    kind: definition.kind,
    service: definition.service,
    version: definition.version,
    vmsPerReplica: definition.vmsPerReplica,
    acceleratorsPerVM: definition.acceleratorsPerVM,
  };
}

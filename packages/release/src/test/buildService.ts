import { ServiceDefinition } from '@dandelionlane/core';

/** A model service with few fields to vary. */
export default function buildService(service: string, replicas = 1): ServiceDefinition {
  return ServiceDefinition.parse({
    kind: 'model', service, team: 'engraving', replicas, version: '1', model: 'proof', vmsPerReplica: 4, acceleratorsPerVM: 8,
  });
}

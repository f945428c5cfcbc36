import { ServiceDefinition } from '@dandelionlane/core';

/** Builds a model service with fixed fields except for its name and number of replicas. */
export default function buildService(service: string, replicas = 1): ServiceDefinition {
  return ServiceDefinition.parse({
    kind: 'model', service, team: 'engraving', replicas, version: '1', model: 'proof', vmsPerReplica: 4, acceleratorsPerVM: 8,
  });
}

import { ServiceDefinition } from '@dandelionlane/core';

/** Definition of a model service. */
export default function createDefinition(number: number): ServiceDefinition {
  return ServiceDefinition.parse({
    kind: 'model',
    service: `permit-assistant-${number}`,
    team: `team-${number % 10}`,
    replicas: 1,
    version: '2026-11-30.2',
    model: 'bridge-reader-70b',
    vmsPerReplica: 4,
    acceleratorsPerVM: 4,
  });
}

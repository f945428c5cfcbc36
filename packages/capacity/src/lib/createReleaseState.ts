import { ReleaseState } from '@dandelionlane/core';
import createDefinition from './createDefinition.js';

/** A release state of so many services. */
export default function createReleaseState(services: number): ReleaseState {
  return ReleaseState.parse({
    sequence: services,
    services: Array.from({ length: services }, (_, number) => ({
      definition: createDefinition(number), changedAt: number + 1,
    })),
    withdrawn: [],
    teamWeights: [],
    availabilityZonesOut: [],
    vmsOut: [],
  });
}

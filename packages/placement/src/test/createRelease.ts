import {
  EMPTY_RELEASE_STATE, ReleaseSequence, type ReleaseState, ServiceDefinition,
} from '@dandelionlane/core';

/** A service of a test release; a plain service if `vms` is absent. */
interface TestService {
  readonly name: string;
  readonly replicas: number;
  readonly vms?: number;
  readonly version?: string;
}

/** Creates a release state with the given services. */
export default function createRelease(
  services: readonly TestService[],
  out: Partial<Pick<ReleaseState, 'availabilityZonesOut' | 'vmsOut'>> = {},
): ReleaseState {
  return {
    ...EMPTY_RELEASE_STATE,
    ...out,
    services: services.map(({
      name, replicas, vms, version,
    }) => ({
      changedAt: ReleaseSequence.parse(1),
      definition: ServiceDefinition.parse({
        service: name,
        team: 'team',
        replicas,
        version: version ?? 'one',
        ...(vms === undefined
          ? { kind: 'plain' }
          : {
            kind: 'model', model: 'model', vmsPerReplica: vms, acceleratorsPerVM: 4,
          }),
      }),
    })),
  };
}

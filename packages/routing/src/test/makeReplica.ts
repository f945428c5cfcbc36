import { Replica } from '@dandelionlane/core';

/** Creates a serving replica of the given VMs, with fields replaced. */
export default function makeReplica(vms: readonly string[], fields: Record<string, unknown> = {}): Replica {
  return Replica.parse({
    replica: 'replica-1',
    service: 'service-1',
    version: 'v1',
    state: 'serving',
    fencing: 1,
    members: vms.map((vm) => ({
      vm, address: `${vm}:80`, availabilityZone: 'zone-a', fabricDomain: 'domain-a',
    })),
    grants: [],
    ...fields,
  });
}

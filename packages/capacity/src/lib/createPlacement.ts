import { ServicePlacement } from '@dandelionlane/core';

const MEMBERS = 4;
const HOMES = 3;

/** The placement row of a service with one replica of four VMs and three homes. */
export default function createPlacement(number: number): ServicePlacement {
  const service = `permit-assistant-${number}`;
  return ServicePlacement.parse({
    service,
    replicas: [{
      replica: `replica-region-3-${number}-k3x9`,
      service,
      version: '2026-11-30.2',
      state: 'serving',
      fencing: 4_211,
      members: Array.from({ length: MEMBERS }, (_, member) => ({
        vm: `vm-region-3-${(number * MEMBERS) + member}`,
        address: `10.3.${number % 250}.${member}:9000`,
        availabilityZone: 'region-3-zone-1',
        fabricDomain: `region-3-domain-${number % 30}`,
      })),
      grants: Array.from({ length: HOMES }, (_, home) => ({ entry: `entry-r3-${home}`, cold: 1, warm: 11 })),
    }],
  });
}

import type { ReleaseState } from '@dandelionlane/core';

/** Formats the zones and VMs that operators have taken out of service as one line. */
export default function formatOutOfService(
  { availabilityZonesOut, vmsOut }: Pick<ReleaseState, 'availabilityZonesOut' | 'vmsOut'>,
): string {
  const subjects = [
    ...availabilityZonesOut.map((zone) => `zone ${zone}`),
    ...vmsOut.map((vm) => `vm ${vm}`),
  ];
  return `out of service: ${subjects.length === 0 ? 'nothing' : subjects.join(', ')}`;
}

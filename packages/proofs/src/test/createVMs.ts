import type SystemOptions from './SystemOptions.js';

type Timing = NonNullable<SystemOptions['vms'][number]['timing']>;

const FAST_TIMING = {
  weightLoadMilliseconds: 1, coldDurationMilliseconds: 1, decodeMillisecondsPerToken: 5,
};

/** Model VMs `<prefix>-1` and on, all in one zone and fabric domain. */
export default function createVMs(
  prefix: string,
  count: number,
  kind: 'model' | 'plain',
  { zone = 'zone-a', timing = {} }: { readonly zone?: string; readonly timing?: Timing } = {},
): SystemOptions['vms'] {
  return Array.from({ length: count }, (_, index) => ({
    vm: `${prefix}-${index + 1}`,
    availabilityZone: zone,
    fabricDomain: `${zone}-fabric`,
    accelerators: kind === 'model' ? 8 : 0,
    kind,
    timing: { ...FAST_TIMING, ...timing },
  }));
}

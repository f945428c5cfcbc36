import { AvailabilityZoneId, FabricDomainId, VMId } from '@dandelionlane/core';
import { z } from 'zod';
import VMTiming from './VMTiming.js';

/** Settings of one VM stand-in. */
const VMSettings = z.strictObject({
  vm: VMId,
  availabilityZone: AvailabilityZoneId,
  fabricDomain: FabricDomainId,
  /** 0 for a VM of plain services. */
  accelerators: z.number().int().nonnegative(),
  kind: z.enum(['model', 'plain']),
  /** 0 takes any free port, which the VM keeps over restarts. */
  port: z.number().int().nonnegative().default(0),
  state: z.enum(['live', 'leaving']).default('live'),
  /** Whether orders with a stale fencing number are refused. */
  checksFencing: z.boolean().default(true),
  timing: VMTiming.prefault({}),
});
type VMSettings = z.infer<typeof VMSettings>;

export default VMSettings;

import { z } from 'zod';
import AvailabilityZoneId from '../ids/AvailabilityZoneId.js';
import FabricDomainId from '../ids/FabricDomainId.js';
import VMId from '../ids/VMId.js';

/** A VM as the platform lists it. */
const VMRecord = z.object({
  vm: VMId,
  availabilityZone: AvailabilityZoneId,
  fabricDomain: FabricDomainId,
  /** Number of accelerators. 0 for a VM that runs plain services. */
  accelerators: z.number().int().nonnegative(),
  /** `host:port` of the engine or application on the VM. */
  address: z.string().min(3),
  state: z.enum(['live', 'leaving']),
});
type VMRecord = z.infer<typeof VMRecord>;

export default VMRecord;

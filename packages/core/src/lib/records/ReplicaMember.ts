import { z } from 'zod';
import AvailabilityZoneId from '../ids/AvailabilityZoneId.js';
import FabricDomainId from '../ids/FabricDomainId.js';
import VMId from '../ids/VMId.js';

/** One VM of a replica. The first member receives the requests. */
const ReplicaMember = z.object({
  vm: VMId,
  address: z.string().min(3),
  availabilityZone: AvailabilityZoneId,
  fabricDomain: FabricDomainId,
});
type ReplicaMember = z.infer<typeof ReplicaMember>;

export default ReplicaMember;

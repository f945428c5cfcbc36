import { z } from 'zod';
import FencingNumber from '../ids/FencingNumber.js';
import ReplicaId from '../ids/ReplicaId.js';
import ServiceId from '../ids/ServiceId.js';
import VMId from '../ids/VMId.js';

/** Row that assigns a VM to the only replica it belongs to. A VM without a row is free. */
const Allocation = z.object({
  vm: VMId,
  replica: ReplicaId,
  service: ServiceId,
  fencing: FencingNumber,
});
type Allocation = z.infer<typeof Allocation>;

export default Allocation;

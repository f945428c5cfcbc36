import { z } from 'zod';
import FencingNumber from '../ids/FencingNumber.js';
import ReplicaId from '../ids/ReplicaId.js';
import ServiceId from '../ids/ServiceId.js';
import VMId from '../ids/VMId.js';

/** Row of one VM that names the one replica it belongs to. No row: the VM is free. */
const Allocation = z.object({
  vm: VMId,
  replica: ReplicaId,
  service: ServiceId,
  fencing: FencingNumber,
});
type Allocation = z.infer<typeof Allocation>;

export default Allocation;

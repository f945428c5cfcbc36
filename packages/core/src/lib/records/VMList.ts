import { z } from 'zod';
import VMRecord from './VMRecord.js';

/** The platform's list of VMs. It lags behind the actual state of the fleet. */
const VMList = z.object({
  vms: z.array(VMRecord),
});
type VMList = z.infer<typeof VMList>;

export default VMList;

import { z } from 'zod';
import ControllerId from '../ids/ControllerId.js';
import FencingNumber from '../ids/FencingNumber.js';
import Nonce from '../ids/Nonce.js';

/** Lease row of one shard of the control work. */
const LeaseRecord = z.object({
  holder: ControllerId,
  fencing: FencingNumber,
  /** Changes with every renewal. A contender may take over once it has seen no change for a full term. */
  renewal: Nonce,
  termMilliseconds: z.number().int().positive(),
  /** The holder gave the lease up; a contender need not wait. */
  released: z.boolean(),
  /** Era of the table service in which it was written; null where the service names none. */
  era: z.number().int().nullable().default(null),
});
type LeaseRecord = z.infer<typeof LeaseRecord>;

export default LeaseRecord;

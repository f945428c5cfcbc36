import { z } from 'zod';
import ControllerId from '../ids/ControllerId.js';
import FencingNumber from '../ids/FencingNumber.js';
import NetworkAddress from '../ids/NetworkAddress.js';
import Nonce from '../ids/Nonce.js';

/** Row of the lease on one shard of the control work. */
const LeaseRecord = z.object({
  holder: ControllerId,
  fencing: FencingNumber,
  /** Changes with every renewal. A contender may take over once it has seen no change for a full term. */
  renewal: Nonce,
  termMilliseconds: z.number().int().positive(),
  /** Whether the holder has released the lease; a contender need not wait for the term to expire. */
  released: z.boolean(),
  /** Address at which other processes reach the holder; null if it gives none that can be connected to. */
  address: NetworkAddress.nullable().default(null).catch(null),
  /** Era of the table service in which the row was written; null if the service reports none. */
  era: z.number().int().nullable().default(null),
});
type LeaseRecord = z.infer<typeof LeaseRecord>;

export default LeaseRecord;

import { z } from 'zod';
import ControllerId from '../ids/ControllerId.js';
import FencingNumber from '../ids/FencingNumber.js';
import NetworkAddress from '../ids/NetworkAddress.js';
import Nonce from '../ids/Nonce.js';

/** Highest fencing number of a lease: numbers derived from it, a million for each, stay exact. */
const MAXIMUM_FENCING = 4_000_000_000;

/** Longest term, in ms: contenders wait for it. */
const MAXIMUM_TERM_MILLISECONDS = 3_600_000;

/** Row of the lease on one shard of the control work. */
const LeaseRecord = z.object({
  holder: ControllerId,
  fencing: FencingNumber.max(MAXIMUM_FENCING),
  /** Changes with every renewal. A contender may take over once it has seen no change for a full term. */
  renewal: Nonce,
  termMilliseconds: z.number().int().positive().max(MAXIMUM_TERM_MILLISECONDS),
  /** Whether the holder has released the lease; a contender need not wait for the term to expire. */
  released: z.boolean(),
  /** Address at which other processes reach the holder; null if it gives none that can be connected to. */
  address: NetworkAddress.nullable().default(null).catch(null),
  /** Era of the table service in which the row was written; null if the service reports none. */
  era: z.number().int().nullable().default(null),
});
type LeaseRecord = z.infer<typeof LeaseRecord>;

export default LeaseRecord;

import { z } from 'zod';
import FencingNumber from '../ids/FencingNumber.js';
import ReplicaId from '../ids/ReplicaId.js';
import ServiceId from '../ids/ServiceId.js';
import Grant from './Grant.js';
import ReplicaMember from './ReplicaMember.js';
import ReplicaState from './ReplicaState.js';

/** A replica as stored in its placement row. */
const Replica = z.object({
  replica: ReplicaId,
  service: ServiceId,
  version: z.string(),
  state: ReplicaState,
  /** Fencing number of the lease under which the replica was last changed. */
  fencing: FencingNumber,
  members: z.array(ReplicaMember).min(1),
  grants: z.array(Grant),
});
type Replica = z.infer<typeof Replica>;

export default Replica;

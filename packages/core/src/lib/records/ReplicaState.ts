import { z } from 'zod';

/**
 * Where a replica is in its life. `loading`: its VMs take the load order.
 * `serving`: it takes requests while whole. `draining`: it takes no new requests
 * and ends when those in flight have. `stopping`: its VMs take the unload order;
 * they stay allocated until each is known to have stopped.
 */
const ReplicaState = z.enum(['loading', 'serving', 'draining', 'stopping']);
type ReplicaState = z.infer<typeof ReplicaState>;

export default ReplicaState;

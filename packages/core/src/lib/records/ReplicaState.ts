import { z } from 'zod';

/**
 * Lifecycle state of a replica. `loading`: its VMs receive the load order. `serving`:
 * it takes requests while all of its VMs are available. `draining`: it takes no new
 * requests and stops when the in-flight ones have finished. `stopping`: its VMs receive
 * the unload order and stay allocated until each is known to have stopped.
 */
const ReplicaState = z.enum(['loading', 'serving', 'draining', 'stopping']);
type ReplicaState = z.infer<typeof ReplicaState>;

export default ReplicaState;

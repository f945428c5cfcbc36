import { z } from 'zod';
import FencingNumber from '../ids/FencingNumber.js';
import ReplicaId from '../ids/ReplicaId.js';
import ServiceId from '../ids/ServiceId.js';
import VMId from '../ids/VMId.js';

/** Order from a controller to the engine or application on a VM. */
const EngineOrder = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('load'),
    fencing: FencingNumber,
    replica: ReplicaId,
    service: ServiceId,
    /** Model and adapter; null for a plain service. */
    model: z.string().nullable(),
    adapter: z.string().nullable(),
    version: z.string(),
    /** The VMs of the replica, in order; the first receives the requests. */
    members: z.array(z.object({ vm: VMId, address: z.string() })).min(1),
  }),
  z.object({
    kind: z.literal('unload'),
    fencing: FencingNumber,
    /** The replica to stop. The order is idempotent. */
    replica: ReplicaId,
  }),
]);
type EngineOrder = z.infer<typeof EngineOrder>;

export default EngineOrder;

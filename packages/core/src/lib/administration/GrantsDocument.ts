import { z } from 'zod';
import ReplicaId from '../ids/ReplicaId.js';
import ServiceId from '../ids/ServiceId.js';

/** Response of an entry to `GET /v1/grants` on its peer port. */
const GrantsDocument = z.object({
  services: z.array(z.object({
    service: ServiceId,
    /** Version of the placement row that the entry uses; -1 before the first read. */
    version: z.number().int(),
    replicas: z.array(z.object({
      replica: ReplicaId,
      /** In-flight requests of the entry at this replica. */
      inFlight: z.number().int().nonnegative(),
    })),
  })),
});
type GrantsDocument = z.infer<typeof GrantsDocument>;

export default GrantsDocument;

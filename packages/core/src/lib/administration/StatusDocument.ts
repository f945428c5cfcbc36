import { z } from 'zod';
import AvailabilityZoneId from '../ids/AvailabilityZoneId.js';
import EntryId from '../ids/EntryId.js';
import ReleaseSequence from '../ids/ReleaseSequence.js';
import ReplicaId from '../ids/ReplicaId.js';
import ServiceId from '../ids/ServiceId.js';
import VMId from '../ids/VMId.js';
import ReplicaState from '../records/ReplicaState.js';

/** Response to `GET /admin/v1/status`. */
const StatusDocument = z.object({
  /** Latest accepted change known to the answering entry. */
  sequence: ReleaseSequence,
  /** Whether the answering entry reached the table service within the last few seconds. */
  storeReachable: z.boolean(),
  entries: z.array(z.object({
    entry: EntryId,
    availabilityZone: AvailabilityZoneId,
    state: z.enum(['alive', 'suspect', 'leaving', 'dead']),
    /** Latest change in force at this entry, as last reported. */
    sequenceInForce: ReleaseSequence,
  })),
  services: z.array(z.object({
    service: ServiceId,
    replicasWanted: z.number().int(),
    replicasServing: z.number().int(),
    replicas: z.array(z.object({
      replica: ReplicaId,
      state: ReplicaState,
      version: z.string(),
      vms: z.array(VMId),
    })),
  })),
  availabilityZonesOut: z.array(AvailabilityZoneId),
  vmsOut: z.array(VMId),
});
type StatusDocument = z.infer<typeof StatusDocument>;

export default StatusDocument;

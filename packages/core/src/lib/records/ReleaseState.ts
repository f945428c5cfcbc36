import { z } from 'zod';
import AvailabilityZoneId from '../ids/AvailabilityZoneId.js';
import ReleaseSequence from '../ids/ReleaseSequence.js';
import ServiceId from '../ids/ServiceId.js';
import TeamId from '../ids/TeamId.js';
import VMId from '../ids/VMId.js';
import ServiceDefinition from './ServiceDefinition.js';

/**
 * Accumulated result of the accepted changes up to `sequence`. Plain data, so that it can
 * be sent to peers and stored in snapshots.
 */
const ReleaseState = z.object({
  sequence: ReleaseSequence,
  services: z.array(z.object({
    definition: ServiceDefinition,
    /** Sequence of the last change to the service. */
    changedAt: ReleaseSequence,
  })),
  /** Withdrawn services, kept to detect conflicts. */
  withdrawn: z.array(z.object({ service: ServiceId, changedAt: ReleaseSequence })),
  teamWeights: z.array(z.object({ team: TeamId, weight: z.number().positive(), changedAt: ReleaseSequence })),
  availabilityZonesOut: z.array(AvailabilityZoneId),
  vmsOut: z.array(VMId),
});
type ReleaseState = z.infer<typeof ReleaseState>;

export default ReleaseState;

import { z } from 'zod';
import AvailabilityZoneId from '../ids/AvailabilityZoneId.js';
import ReleaseSequence from '../ids/ReleaseSequence.js';
import ServiceId from '../ids/ServiceId.js';
import TeamId from '../ids/TeamId.js';
import VMId from '../ids/VMId.js';
import ServiceDefinition from './ServiceDefinition.js';

/**
 * What the accepted changes up to `sequence` add up to. Plain data, so that peers
 * and snapshots carry it.
 */
const ReleaseState = z.object({
  sequence: ReleaseSequence,
  services: z.array(z.object({
    definition: ServiceDefinition,
    /** Sequence of the change that last touched the service. */
    changedAt: ReleaseSequence,
  })),
  /** Services that were withdrawn, kept to detect conflicts. */
  withdrawn: z.array(z.object({ service: ServiceId, changedAt: ReleaseSequence })),
  teamWeights: z.array(z.object({ team: TeamId, weight: z.number().positive(), changedAt: ReleaseSequence })),
  availabilityZonesOut: z.array(AvailabilityZoneId),
  vmsOut: z.array(VMId),
});
type ReleaseState = z.infer<typeof ReleaseState>;

export default ReleaseState;

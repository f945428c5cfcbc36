import { z } from 'zod';
import AvailabilityZoneId from '../ids/AvailabilityZoneId.js';
import VMId from '../ids/VMId.js';

/** An availability zone or VM that operators take out of service or bring back. */
const OutOfService = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('availability-zone'), availabilityZone: AvailabilityZoneId }),
  z.strictObject({ kind: z.literal('vm'), vm: VMId }),
]);
type OutOfService = z.infer<typeof OutOfService>;

export default OutOfService;

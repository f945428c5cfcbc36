import { z } from 'zod';
import AvailabilityZoneId from '../ids/AvailabilityZoneId.js';
import ServiceId from '../ids/ServiceId.js';

/** Answer of `GET /v1/entries?service=...`: which entries a caller should use, best first. */
const EntriesDocument = z.object({
  service: ServiceId,
  entries: z.array(z.object({
    /** `host:port`. */
    address: z.string(),
    availabilityZone: AvailabilityZoneId,
    /** How long the caller may keep this answer, in seconds. */
    keepSeconds: z.number().positive(),
  })),
});
type EntriesDocument = z.infer<typeof EntriesDocument>;

export default EntriesDocument;

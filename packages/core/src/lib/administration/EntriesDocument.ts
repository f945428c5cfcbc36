import { z } from 'zod';
import AvailabilityZoneId from '../ids/AvailabilityZoneId.js';
import ServiceId from '../ids/ServiceId.js';

/** Response to `GET /v1/entries?service=...`: entries that a caller should use, best first. */
const EntriesDocument = z.object({
  service: ServiceId,
  entries: z.array(z.object({
    /** `host:port`. */
    address: z.string(),
    availabilityZone: AvailabilityZoneId,
    /** Time for which the caller may cache this response, in seconds. */
    keepSeconds: z.number().positive(),
  })),
});
type EntriesDocument = z.infer<typeof EntriesDocument>;

export default EntriesDocument;

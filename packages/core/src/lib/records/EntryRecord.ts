import { z } from 'zod';
import AvailabilityZoneId from '../ids/AvailabilityZoneId.js';
import EntryId from '../ids/EntryId.js';
import Incarnation from '../ids/Incarnation.js';
import RegionId from '../ids/RegionId.js';

/** An entry process with its location and addresses. */
const EntryRecord = z.object({
  entry: EntryId,
  region: RegionId,
  availabilityZone: AvailabilityZoneId,
  incarnation: Incarnation,
  /** `host:port` for callers. */
  callerAddress: z.string().min(3),
  /** `host:port` for other entries and controllers. */
  peerAddress: z.string().min(3),
});
type EntryRecord = z.infer<typeof EntryRecord>;

export default EntryRecord;

import { z } from 'zod';
import { LeaseRecord, RowVersion } from '@dandelionlane/core';

/** Lease row that the holder sends to its peers. */
const LeaseAnnouncement = z.object({
  record: LeaseRecord,
  version: RowVersion,
  /** Time since the holder started to write this version, in ms: the term starts at that write. */
  ageMilliseconds: z.number().nonnegative(),
});
type LeaseAnnouncement = z.infer<typeof LeaseAnnouncement>;

export default LeaseAnnouncement;

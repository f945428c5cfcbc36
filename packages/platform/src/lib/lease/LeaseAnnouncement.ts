import { z } from 'zod';
import { LeaseRecord, RowVersion } from '@dandelionlane/core';

/** What the holder of a lease tells others of its row. */
const LeaseAnnouncement = z.object({
  record: LeaseRecord,
  version: RowVersion,
  /** Time since the holder began to write this version, in ms: its term counts from there. */
  ageMilliseconds: z.number().nonnegative(),
});
type LeaseAnnouncement = z.infer<typeof LeaseAnnouncement>;

export default LeaseAnnouncement;

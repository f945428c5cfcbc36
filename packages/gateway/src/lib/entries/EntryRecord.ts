import { z } from 'zod';
import { AvailabilityZoneId, EntryId, NetworkAddress } from '@dandelionlane/core';

/** Row of an entry in the store, with its addresses and its heartbeat. */
const EntryRecord = z.object({
  entry: EntryId,
  zone: AvailabilityZoneId,
  /** Host and port that callers connect to. */
  callerAddress: NetworkAddress,
  /** Host and port that other entries connect to. */
  linkAddress: NetworkAddress,
  /** Whether callers may be directed to it. */
  ready: z.boolean(),
  /** Grows with each heartbeat, so that the row changes. */
  beat: z.number().int(),
  /** Processor time that it may use, in cores. */
  processorCores: z.number().default(1),
  /** Requests a second that it can take; null from an earlier build. */
  capacity: z.number().positive().nullable().default(null)
    .catch(null),
  /** Whether it takes requests of other entries at its link address. */
  takesForwarded: z.boolean().default(false),
  /** Entries with a link to this one while it holds the lease. */
  linked: z.array(EntryId).default([]),
  /** Fencing number of the lease that it holds; null where it holds none, or is of an earlier build. */
  term: z.number().nullable().default(null),
});
type EntryRecord = z.infer<typeof EntryRecord>;

export default EntryRecord;

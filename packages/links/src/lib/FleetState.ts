import { z } from 'zod';
import {
  AvailabilityZoneId, EntryId, Epoch, FabricDomainId, GroupName, ModelName, RowVersion, ServiceId, TableRow,
  WorkerId,
} from '@dandelionlane/core';
import { LeaseAnnouncement } from '@dandelionlane/platform';
import WorkerIncarnationSchema from './WorkerIncarnationSchema.js';

/** What the holder of the lease tells the entries, several times a second. */
const FleetState = z.object({
  kind: z.literal('state'),
  holder: EntryId,
  /** Era of the store that its registrations are of; null where the store names none. */
  era: z.number().nullable(),
  /** Its lease, or null while it cannot renew it. */
  lease: LeaseAnnouncement.nullable(),
  /** Time since the holder last heard of the workers from the store, in ms. */
  ageMilliseconds: z.number(),
  /** How far the holder has read the operators' table, and the time since the store last answered, in ms. */
  operators: z.object({ newestRow: RowVersion, wholeReads: z.number(), ageMilliseconds: z.number() }),
  /** Entries that are linked to the holder, itself included; null while unchanged, but with `whole`. */
  entries: z.array(z.object({ entry: EntryId, ready: z.boolean(), callerAddress: z.string() })).nullable(),
  /** Requests of all entries at model targets. */
  loads: z.array(z.object({ worker: WorkerId, outstanding: z.number(), unreadTokens: z.number() })),
  /** Requests of all entries in the window of the repeat budget. */
  requests: z.array(z.object({ service: ServiceId, requests: z.number() })),
  /** Formations that stand still, by what all entries see. */
  stalled: z.array(z.object({ worker: WorkerId, formation: z.string() })),
  /** Groups of workers by their reports, where their registrations say otherwise: the store may be away. */
  groups: z.array(z.object({
    worker: WorkerId,
    /** Where it is, for entries whose own registration of it has lapsed. */
    service: ServiceId,
    address: z.string(),
    zone: AvailabilityZoneId,
    domain: FabricDomainId.nullable(),
    bornAt: z.number().nullable(),
    model: ModelName.nullable(),
    group: z.object({
      name: GroupName,
      epoch: Epoch,
      rank: z.number(),
      state: z.enum(['joining', 'ready', 'open', 'closing', 'broken']),
    }).nullable(),
  })),
  /** Lives of workers that have withdrawn, with `whole` only: rows do not tell them from lapsed ones. */
  withdrawn: z.array(WorkerIncarnationSchema),
  /** Lives of workers that have told that they leave, and whose registrations do not say so. */
  leaving: z.array(WorkerIncarnationSchema),
  /** Registrations that changed. With `whole`, which begins each link, all registrations. */
  rows: z.array(TableRow),
  whole: z.boolean(),
  /** Whether the store has returned from an outage just now. */
  returned: z.boolean(),
  /** Newest version among the registrations that the holder knows. */
  version: RowVersion,
});
type FleetState = z.infer<typeof FleetState>;

export default FleetState;

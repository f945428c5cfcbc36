import { z } from 'zod';
import {
  AvailabilityZoneId, EntryId, Epoch, FabricDomainId, GroupName, ModelName, NetworkAddress, PromptPartId,
  RowVersion, ServiceId, TableRow, WorkerId,
} from '@dandelionlane/core';
import { LeaseAnnouncement } from '@dandelionlane/platform';
import AbsentTargetSchema from './AbsentTargetSchema.js';
import ModelTrafficSchema from './ModelTrafficSchema.js';
import PartEvidenceSchema from './PartEvidenceSchema.js';
import SlowdownSchema from './SlowdownSchema.js';
import TargetLimitSchema from './TargetLimitSchema.js';
import WorkerInstanceSchema from './WorkerInstanceSchema.js';
import listOfValid from './listOfValid.js';

/** State of the fleet that the holder of the lease sends to the entries, several times a second. */
const FleetState = z.object({
  kind: z.literal('state'),
  holder: EntryId,
  /** Era of the store that the registrations belong to; null if the store reports none. */
  era: z.number().nullable(),
  /** Lease of the holder; null while it cannot be renewed. */
  lease: LeaseAnnouncement.nullable(),
  /** Time since the holder last read the registrations of workers from the store, in ms. */
  ageMilliseconds: z.number(),
  /** Position of the holder in the operators' table, and the time since the store last answered, in ms. */
  operators: z.object({
    newestRow: RowVersion,
    wholeReads: z.number(),
    ageMilliseconds: z.number(),
    /** Newest version known to the holder, also of rows that are gone. */
    version: RowVersion.default(RowVersion.parse(0)),
    /** Rows that changed since the last message; all rows with `whole`. */
    rows: z.array(TableRow).default([]),
    whole: z.boolean().default(false),
    /** Newest row in the last message; null if that is not the position before the rows. */
    after: RowVersion.nullable().default(null),
  }),
  /** Entries linked to the holder, including the holder; null if unchanged, except with `whole`. */
  entries: listOfValid(z.object({
    entry: EntryId,
    ready: z.boolean(),
    callerAddress: NetworkAddress,
    processorCores: z.number().nullable().default(null),
    /** Requests a second that it can take; null if unknown. */
    capacity: z.number().positive().nullable().default(null)
      .catch(null),
    /** Host and port that it takes requests of other entries at; null if it takes none. */
    forwardAddress: NetworkAddress.nullable().default(null),
    /** Services no target of which it can reach. */
    unreachable: z.array(ServiceId).default([]),
  })).nullable(),
  /** Requests of all entries at model targets. */
  loads: z.array(z.object({
    worker: WorkerId,
    outstanding: z.number(),
    unreadTokens: z.number(),
    /** Slowdown of the target that the entries have measured lately, as the weighted median. */
    slowdown: SlowdownSchema,
  })),
  /** Requests of all entries in the window of the repeat budget. */
  requests: z.array(z.object({ service: ServiceId, requests: z.number() })),
  /** Streams of all entries, by model. */
  traffic: z.array(ModelTrafficSchema).default([]),
  /** Formations that have just delivered events to any entry. */
  progressing: z.array(z.string()).default([]),
  /** Formations that have stalled according to the statuses of all entries. */
  stalled: z.array(z.object({ worker: WorkerId, formation: z.string() })),
  /** Targets that several entries have just found absent from their addresses. */
  absent: z.array(AbsentTargetSchema).default([]),
  /** Parts of prompts under which workers crashed, where that is news; all of them with `whole`. */
  promptParts: z.array(PartEvidenceSchema).default([]),
  /** Entries that may send one request with a quarantined part. */
  trials: z.array(z.object({ part: PromptPartId, entry: EntryId })).default([]),
  /** Limits that workers have named or lifted, where that is news; all that they name with `whole`. */
  limits: z.array(TargetLimitSchema).default([]),
  /** Groups that workers report, where their registrations differ: the store may be unavailable. */
  groups: listOfValid(z.object({
    worker: WorkerId,
    /** Service, address and location, for entries at which the registration of the worker has expired. */
    service: ServiceId,
    address: NetworkAddress,
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
  /** Instances of deregistered workers, only with `whole`: rows do not tell them from expired ones. */
  withdrawn: z.array(WorkerInstanceSchema),
  /** Instances of workers that announced their departure, but not in their registrations. */
  leaving: z.array(WorkerInstanceSchema),
  /** Changed registrations; all registrations with `whole`. */
  rows: z.array(TableRow),
  /** Whether the message is a full snapshot, as the first message of each link is. */
  whole: z.boolean(),
  /** Whether the store has just recovered from an outage. */
  returned: z.boolean(),
  /** Newest version among the registrations known to the holder. */
  version: RowVersion,
});
type FleetState = z.infer<typeof FleetState>;

export default FleetState;

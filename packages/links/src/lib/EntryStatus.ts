import { z } from 'zod';
import {
  EntryId, ModelName, NetworkAddress, PromptPartId, ServiceId, WorkerId,
} from '@dandelionlane/core';
import AbsentTargetSchema from './AbsentTargetSchema.js';
import ModelTrafficSchema from './ModelTrafficSchema.js';
import PartEvidenceSchema from './PartEvidenceSchema.js';
import SlowdownSchema from './SlowdownSchema.js';
import TargetLimitSchema from './TargetLimitSchema.js';
import WorkerInstanceSchema from './WorkerInstanceSchema.js';

/** Status report of an entry to the holder of the lease, sent several times a second. */
const EntryStatus = z.object({
  kind: z.literal('status'),
  entry: EntryId,
  /** Whether callers may be directed to the entry. */
  ready: z.boolean(),
  callerAddress: z.string(),
  /** Host and port that the entry takes requests of other entries at; null if it takes none. */
  forwardAddress: NetworkAddress.nullable().default(null),
  /** Processor time that the entry may use, in cores. */
  processorCores: z.number(),
  /** Requests a second that the entry can take; null from an earlier build. */
  capacity: z.number().positive().nullable().default(null)
    .catch(null),
  /** Time since the store last answered the entry, in ms. */
  storeAgeMilliseconds: z.number(),
  /** Instances of workers that announced their departure to the entry, but not in their registrations. */
  leaving: z.array(WorkerInstanceSchema),
  /** Services no target of which the entry can reach: what it finds of them says nothing of the targets. */
  unreachable: z.array(ServiceId).default([]),
  /** Targets that the entry has just found absent from their addresses. */
  absent: z.array(AbsentTargetSchema).default([]),
  /** Parts of prompts under which workers crashed or that were served after it, where that is news. */
  promptParts: z.array(PartEvidenceSchema).default([]),
  /** Quarantined parts of which the entry has a request to try. */
  trialsSought: z.array(PromptPartId).default([]),
  /** Limits that workers have named or lifted, where that is news. */
  limits: z.array(TargetLimitSchema).default([]),
  /** The entry's requests in the window of the repeat budget. */
  requests: z.array(z.object({ service: ServiceId, requests: z.number() })),
  /** The entry's requests that wait for a target, by model. */
  waiting: z.array(z.object({
    model: ModelName,
    requests: z.number(),
    /** Most urgent priority of the model's requests of the last 10 s, 0 first; null if there were none. */
    priority: z.number().min(0).nullable().default(null)
      .catch(null),
  })),
  /** The entry's streams, by model. */
  traffic: z.array(ModelTrafficSchema).default([]),
  /** Model targets with requests from the entry. */
  targets: z.array(z.object({
    worker: WorkerId,
    formation: z.string(),
    outstanding: z.number(),
    /** Streams that have received an event. */
    started: z.number(),
    /** Prompt tokens of the requests that have not received an event yet. */
    unreadTokens: z.number(),
    /** Time since any of the entry's streams from the target received an event, in ms. */
    silentMilliseconds: z.number(),
    /** Whether the target has been silent for so long that its group needs a health check. */
    doubted: z.boolean(),
    /** Slowdown of the target that the entry has measured lately. */
    slowdown: SlowdownSchema,
  })),
});
type EntryStatus = z.infer<typeof EntryStatus>;

export default EntryStatus;

import { z } from 'zod';
import {
  EntryId, ModelName, ServiceId, WorkerId,
} from '@dandelionlane/core';
import WorkerIncarnationSchema from './WorkerIncarnationSchema.js';

/** What an entry tells the holder of the lease, several times a second. */
const EntryStatus = z.object({
  kind: z.literal('status'),
  entry: EntryId,
  /** Whether callers may be sent to it. */
  ready: z.boolean(),
  callerAddress: z.string(),
  /** Processor time that it may use, in cores. */
  processorCores: z.number(),
  /** Time since the store last answered it, in ms. */
  storeAgeMilliseconds: z.number(),
  /** Lives of workers that have told it that they leave, and whose registrations do not say so. */
  leaving: z.array(WorkerIncarnationSchema),
  /** Its requests in the window of the repeat budget. */
  requests: z.array(z.object({ service: ServiceId, requests: z.number() })),
  /** Its requests that wait for a target, by model. */
  waiting: z.array(z.object({ model: ModelName, requests: z.number() })),
  /** Model targets that it has requests at. */
  targets: z.array(z.object({
    worker: WorkerId,
    formation: z.string(),
    outstanding: z.number(),
    /** Streams that have brought an event. */
    started: z.number(),
    /** Prompt tokens of its requests that have not brought an event. */
    unreadTokens: z.number(),
    /** Time since any of its streams there brought an event, in ms. */
    silentMilliseconds: z.number(),
    /** Whether the target has been silent for so long that its group should be asked. */
    doubted: z.boolean(),
  })),
});
type EntryStatus = z.infer<typeof EntryStatus>;

export default EntryStatus;

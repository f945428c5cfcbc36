import { z } from 'zod';
import { ModelName } from '@dandelionlane/core';

/** Streams of one model at one entry, or at all of them. */
const ModelTrafficSchema = z.object({
  model: ModelName,
  /** Streams that wait for a target and can still be on time. */
  onTimeWaiting: z.number(),
  /** Streams that wait for a target and are late. */
  lateWaiting: z.number(),
  /** Streams that run on a target and were late when they were sent to it. */
  lateRunning: z.number(),
  /** Streams that arrive in time to be on time, per second. */
  arrivalsPerSecond: z.number(),
});

export default ModelTrafficSchema;

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
  /**
   * The most urgent priority of the streams that wait and can still be on time, and their number; null
   * where none waits, or where an entry of an earlier build does not tell. What makes no sense counts as
   * not told.
   */
  urgent: z.object({
    priority: z.number().int().min(0).max(9),
    onTimeWaiting: z.number().min(0),
  }).nullable().default(null)
    .catch(null),
});

export default ModelTrafficSchema;

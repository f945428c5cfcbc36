import { TeamId } from '@dandelionlane/core';
import { z } from 'zod';
import TrafficSettings from './TrafficSettings.js';

/** Settings of a load run. The command line overrides rate, duration, seed and journals. */
const LoadSettings = z.strictObject({
  /** `host:port` of entries that are asked which entries to use. */
  entries: z.array(z.string().min(3)).min(1),
  /** Arrivals per second over all traffic. */
  ratePerSecond: z.number().positive().default(10),
  durationSeconds: z.number().positive().default(10),
  seed: z.number().int().nonnegative().default(1),
  /** How long a caller waits for the whole answer, in milliseconds. */
  timeoutMilliseconds: z.number().positive().default(30_000),
  /** `host:port` of the targets' journals. Without any, runs are not reconciled. */
  journals: z.array(z.string().min(3)).default([]),
  /** Wait before the journals are read, so that runs without a caller can end, in milliseconds. */
  settleMilliseconds: z.number().nonnegative().default(500),
  /** Share of the calls that must be answered for the run to pass, 0 to 1. */
  minimumAnsweredShare: z.number().min(0).max(1).default(0),
  traffic: z.array(z.strictObject({
    team: TeamId,
    /** Share of the arrivals, relative to the other weights. */
    weight: z.number().positive().default(1),
    calls: TrafficSettings,
  })).min(1),
});
type LoadSettings = z.infer<typeof LoadSettings>;

export default LoadSettings;

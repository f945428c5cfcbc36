import { VMRecord } from '@dandelionlane/core';
import { z } from 'zod';

const DEFAULT_WEIGHT_BYTES_PER_SECOND = 1_000_000_000;

/** Settings of the platform stand-in. */
const PlatformSettings = z.strictObject({
  host: z.string().default('127.0.0.1'),
  /** 0 takes any free port. */
  port: z.number().int().nonnegative().default(0),
  /** How long a change of the VM list stays unseen, in milliseconds. */
  vmListLagMilliseconds: z.number().nonnegative().default(0),
  /** Total rate of all weight transfers together, in bytes per second. */
  weightBytesPerSecond: z.number().positive().default(DEFAULT_WEIGHT_BYTES_PER_SECOND),
  /** Rates above which calls of the table service wait; absent means no limit. */
  writesPerSecond: z.number().positive().optional(),
  readsPerSecond: z.number().positive().optional(),
  /** VMs listed from the start. */
  vms: z.array(VMRecord).default([]),
});
type PlatformSettings = z.infer<typeof PlatformSettings>;

export default PlatformSettings;

import { z } from 'zod';
import VMSettings from './VMSettings.js';

const milliseconds = z.number().nonnegative();

/** Settings of a process of VM stand-ins. */
const VMsSettings = z.strictObject({
  host: z.string().default('127.0.0.1'),
  /** Port on which faults and journals of all VMs are reached, also of those that are down. */
  controlPort: z.number().int().nonnegative().default(0),
  /** `host:port` of the platform. Absent: VMs are not registered, and weights take a fixed time. */
  platform: z.string().optional(),
  /** How far the load figures of reports lag behind. */
  reportLagMilliseconds: milliseconds.default(200),
  /** How often a member looks at the others of its replica. */
  memberCheckMilliseconds: z.number().positive().default(50),
  /** After how long without an answer a member counts as gone. */
  memberTimeoutMilliseconds: z.number().positive().default(300),
  /** How late prefix cache events appear. */
  cacheEventLagMilliseconds: milliseconds.default(500),
  /** Share of prefix cache events that never appear. */
  cacheEventLossRatio: z.number().min(0).max(1).default(0.05),
  /** Seed of the lost cache events. */
  seed: z.number().int().default(1),
  vms: z.array(VMSettings).min(1),
});
type VMsSettings = z.infer<typeof VMsSettings>;

export default VMsSettings;

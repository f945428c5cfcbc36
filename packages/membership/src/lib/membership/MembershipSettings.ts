import { z } from 'zod';

const milliseconds = z.number().int().positive();

/** Settings of `Membership`. The defaults suit regions of 8 to 128 entries. */
const MembershipSettings = z.strictObject({
  /** Interval between `tick` events. */
  tickMilliseconds: milliseconds.default(200),
  /** One member is probed in each period. */
  probePeriodMilliseconds: milliseconds.default(1_000),
  /** Wait for a direct answer before indirect probes are sent. */
  probeTimeoutMilliseconds: milliseconds.default(400),
  /** Members that are asked to probe on behalf of this one. */
  indirectProbes: z.number().int().nonnegative().default(3),
  /** Wait for any answer before a suspicion is raised, at least a probe period. */
  suspectAfterMilliseconds: milliseconds.default(1_000),
  /** A suspicion lasts this long times the decimal logarithm of the group's size, but at least once. */
  suspicionMilliseconds: milliseconds.default(4_000),
  /** An update is sent this many times the binary logarithm of the group's size. */
  retransmissionFactor: z.number().positive().default(3),
  /** Updates carried by one probe message. */
  maximumUpdates: z.number().int().min(1).max(64)
    .default(6),
  /** Least time between exchanges that an entry begins because views differ. */
  repairIntervalMilliseconds: milliseconds.default(2_000),
  /** Mean time between contacts of dead members and seeds. */
  exchangePeriodMilliseconds: milliseconds.default(30_000),
  /** A dead member is forgotten after this time. */
  forgetAfterMilliseconds: milliseconds.default(600_000),
  /** A tick that comes this late shows that the process was paused. */
  pauseThresholdMilliseconds: milliseconds.default(1_000),
  /** Time without accusations after a pause. */
  pauseRecoveryMilliseconds: milliseconds.default(3_000),
});
type MembershipSettings = z.infer<typeof MembershipSettings>;

export default MembershipSettings;

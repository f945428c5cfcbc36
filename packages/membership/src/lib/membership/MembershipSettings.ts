import { z } from 'zod';

const milliseconds = z.number().int().positive();

/** Settings of `Membership`. The defaults suit regions of 8 to 128 entries. */
const MembershipSettings = z.strictObject({
  /** Interval between `tick` events. */
  tickMilliseconds: milliseconds.default(200),
  /** Interval between probes; one member is probed in each. */
  probePeriodMilliseconds: milliseconds.default(1_000),
  /** Time to wait for a direct answer before indirect probes are sent. */
  probeTimeoutMilliseconds: milliseconds.default(400),
  /** Number of members that are asked to probe on behalf of this one. */
  indirectProbes: z.number().int().nonnegative().default(3),
  /** Time to wait for any answer before the member is suspected; at least a probe period applies. */
  suspectAfterMilliseconds: milliseconds.default(1_000),
  /** A suspicion lasts this time multiplied by log10 of the group size, and by at least 1. */
  suspicionMilliseconds: milliseconds.default(4_000),
  /** An update is piggybacked this many times the log2 of the group size. */
  retransmissionFactor: z.number().positive().default(3),
  /** Limit of queued updates in one probe message. */
  maximumUpdates: z.number().int().min(1).max(64)
    .default(6),
  /** Minimum time between exchanges that an entry starts because views differ. */
  repairIntervalMilliseconds: milliseconds.default(2_000),
  /** Mean time between contacts of dead members and seeds. */
  exchangePeriodMilliseconds: milliseconds.default(30_000),
  /** Time after which a dead member is removed. */
  forgetAfterMilliseconds: milliseconds.default(600_000),
  /** Delay of a tick from which the process counts as paused. */
  pauseThresholdMilliseconds: milliseconds.default(1_000),
  /** Time after a pause in which this process neither suspects members nor declares them dead. */
  pauseRecoveryMilliseconds: milliseconds.default(3_000),
});
type MembershipSettings = z.infer<typeof MembershipSettings>;

export default MembershipSettings;

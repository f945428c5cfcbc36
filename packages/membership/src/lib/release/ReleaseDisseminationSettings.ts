import { z } from 'zod';

const milliseconds = z.number().int().positive();

/** Settings of `ReleaseDissemination`. */
const ReleaseDisseminationSettings = z.strictObject({
  /** Entries of a region that poll the store's head. */
  pollers: z.number().int().min(1).default(3),
  /** Time between two polls of one poller. */
  pollPeriodMilliseconds: milliseconds.default(1_000),
  /** Longest time between polls while they fail. */
  pollBackoffMilliseconds: milliseconds.default(8_000),
  /** Without a read by anyone in the region for this time, other entries begin to poll. */
  staleMilliseconds: milliseconds.default(8_000),
  /** Later ranks begin to poll by this much later, each. */
  rankDelayMilliseconds: milliseconds.default(500),
  /** How long an entry that stepped in goes on polling. */
  substituteMilliseconds: milliseconds.default(60_000),
  /** A poll that takes longer counts as failed. */
  pollTimeoutMilliseconds: milliseconds.default(2_000),
  /** Wait for the first pull before another source is asked. Doubles with each further source. */
  pullHedgeMilliseconds: milliseconds.default(400),
  /** Longest wait for a pull. */
  pullTimeoutMilliseconds: milliseconds.default(8_000),
  /** Peers of the region that are told a new head at once. */
  fanout: z.number().int().nonnegative().default(3),
  /** Entries of a region that also tell other regions. */
  bridges: z.number().int().nonnegative().default(3),
  /** Other regions that a bridge tells a new head at once. */
  bridgeFanout: z.number().int().nonnegative().default(3),
  /** Time after which a bridge tells its head to one more region, new or not. */
  bridgePeriodMilliseconds: milliseconds.default(2_000),
});
type ReleaseDisseminationSettings = z.infer<typeof ReleaseDisseminationSettings>;

export default ReleaseDisseminationSettings;

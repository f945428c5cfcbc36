import { z } from 'zod';

const milliseconds = z.number().int().positive();

/** Settings of `ReleaseDissemination`. */
const ReleaseDisseminationSettings = z.strictObject({
  /** Number of entries per region that poll the head of the store. */
  pollers: z.number().int().min(1).default(3),
  /** Interval between the polls of one entry. */
  pollPeriodMilliseconds: milliseconds.default(1_000),
  /** Limit of the exponential backoff between failing polls. */
  pollBackoffMilliseconds: milliseconds.default(8_000),
  /** Time without a successful read in the region after which other entries start to poll. */
  staleMilliseconds: milliseconds.default(8_000),
  /** Additional delay for each further rank before it starts to poll. */
  rankDelayMilliseconds: milliseconds.default(500),
  /** Time for which an entry keeps polling as a substitute after each successful poll. */
  substituteMilliseconds: milliseconds.default(60_000),
  /** Timeout after which a poll counts as failed. */
  pollTimeoutMilliseconds: milliseconds.default(2_000),
  /** Timeout of the first pull before another source is tried. Doubles with each further source. */
  pullHedgeMilliseconds: milliseconds.default(400),
  /** Limit of the doubled timeout of a pull. */
  pullTimeoutMilliseconds: milliseconds.default(8_000),
  /** Number of peers in the region to which a new head is announced immediately. */
  fanout: z.number().int().nonnegative().default(3),
  /** Number of entries per region that also announce to other regions. */
  bridges: z.number().int().nonnegative().default(3),
  /** Number of other regions to which a bridge announces a new head immediately. */
  bridgeFanout: z.number().int().nonnegative().default(3),
  /** Interval at which a bridge announces its head, new or not, to one random other region. */
  bridgePeriodMilliseconds: milliseconds.default(2_000),
});
type ReleaseDisseminationSettings = z.infer<typeof ReleaseDisseminationSettings>;

export default ReleaseDisseminationSettings;

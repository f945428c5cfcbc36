import { z } from 'zod';

const milliseconds = z.number().nonnegative();
const count = z.number().int().min(1);

/** How long things take on a VM, and how much it bears. */
const VMTiming = z.strictObject({
  /** Time to load weights when `weightBytes` is absent. */
  weightLoadMilliseconds: milliseconds.default(100),
  /** Size of the weights; they are then fetched from the platform's weight store. */
  weightBytes: z.number().int().nonnegative().optional(),
  coldDurationMilliseconds: milliseconds.default(200),
  /** Requests at one time that cold start bears; one more and the engine crashes. */
  coldConcurrency: count.default(2),
  /** Largest batch; more requests wait. */
  warmConcurrency: count.default(32),
  prefillTokensPerSecond: z.number().positive().default(20_000),
  /** For a batch of one; a full batch takes twice as long. */
  decodeMillisecondsPerToken: milliseconds.default(5),
  /** Factor on the time per token when the members are in more than one fabric domain. */
  crossDomainSlowdown: z.number().min(1).default(4),
});
type VMTiming = z.infer<typeof VMTiming>;

export default VMTiming;

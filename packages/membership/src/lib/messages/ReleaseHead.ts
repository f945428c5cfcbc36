import { ReleaseSequence } from '@dandelionlane/core';
import { z } from 'zod';

/** What a sender has in force, carried by every message between entries. */
const ReleaseHead = z.object({
  sequenceInForce: ReleaseSequence,
  /**
   * Counts successful reads of the head from the table service by the sender's region.
   * Members take the maximum; while it grows, somebody in the region reaches the store.
   * A counter rather than an age, since ages that are passed on lose the time on the way.
   */
  storeReads: z.number().int().nonnegative(),
});
type ReleaseHead = z.infer<typeof ReleaseHead>;

export default ReleaseHead;

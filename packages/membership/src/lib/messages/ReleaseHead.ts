import { ReleaseSequence } from '@dandelionlane/core';
import { z } from 'zod';

/** Release progress of the sender, carried by every message between entries. */
const ReleaseHead = z.object({
  sequenceInForce: ReleaseSequence,
  /**
   * Number of successful reads of the head from the table service by the sender's region.
   * Members keep the maximum; while it grows, some entry of the region reaches the store.
   * A counter instead of an age, because a forwarded age does not include the transmission delay.
   */
  storeReads: z.number().int().nonnegative(),
});
type ReleaseHead = z.infer<typeof ReleaseHead>;

export default ReleaseHead;

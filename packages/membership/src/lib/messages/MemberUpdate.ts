import { EntryRecord } from '@dandelionlane/core';
import { z } from 'zod';
import Liveness from './Liveness.js';

/**
 * A claim about one entry. Claims are ordered by incarnation, then by refutation,
 * then by liveness; `leaving` stays set within an incarnation.
 */
const MemberUpdate = z.object({
  entry: EntryRecord,
  /** Raised only by the entry itself, to refute a suspicion within one incarnation. */
  refutation: z.number().int().nonnegative(),
  liveness: Liveness,
  leaving: z.boolean(),
});
type MemberUpdate = z.infer<typeof MemberUpdate>;

export default MemberUpdate;

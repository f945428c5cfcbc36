import { ReleaseSequence, ReleaseState } from '@dandelionlane/core';
import { z } from 'zod';

/**
 * The snapshot row: the state at some sequence without its long lists. Those are stored
 * in separate rows (`SnapshotPart`), since table services limit the size of a row.
 */
const ReleaseSnapshot = ReleaseState.omit({ services: true, withdrawn: true }).extend({
  /** Number of `SnapshotPart` rows. */
  parts: z.number().int().nonnegative(),
  /** Lowest sequence whose change row has not been deleted. */
  firstChange: ReleaseSequence,
});
type ReleaseSnapshot = z.infer<typeof ReleaseSnapshot>;

export default ReleaseSnapshot;

import { ReleaseSequence, ReleaseState } from '@dandelionlane/core';
import { z } from 'zod';

/**
 * The snapshot row: the state at some sequence, but for the lists that may be long. Those
 * are in rows of their own (`SnapshotPart`), since table services limit the size of a row.
 */
const ReleaseSnapshot = ReleaseState.omit({ services: true, withdrawn: true }).extend({
  /** Number of rows with the rest of the state. */
  parts: z.number().int().nonnegative(),
  /** Lowest sequence whose change row is kept. */
  firstChange: ReleaseSequence,
});
type ReleaseSnapshot = z.infer<typeof ReleaseSnapshot>;

export default ReleaseSnapshot;

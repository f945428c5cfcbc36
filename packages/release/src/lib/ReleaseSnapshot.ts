import { ReleaseSequence, ReleaseState } from '@dandelionlane/core';
import { z } from 'zod';

/** The state at some sequence, so that a reader need not replay the log from its start. */
const ReleaseSnapshot = z.object({
  state: ReleaseState,
  /** Lowest sequence whose change row is kept. */
  firstChange: ReleaseSequence,
});
type ReleaseSnapshot = z.infer<typeof ReleaseSnapshot>;

export default ReleaseSnapshot;

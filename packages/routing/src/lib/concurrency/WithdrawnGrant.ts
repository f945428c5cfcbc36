import type { EntryId } from '@dandelionlane/core';
import type HolderState from './HolderState.js';

/** A share that was taken back from a holder and that it may still be using. */
export default interface WithdrawnGrant {
  /** Null when the holder is not known, after a takeover. */
  readonly entry: EntryId | null;
  readonly cold: number;
  readonly warm: number;
  /** When the write that took it back was known to have taken effect, on the planner's monotonic clock. */
  readonly withdrawnAtMilliseconds: number;
  readonly holder: HolderState;
}

import type { EntryId } from '@dandelionlane/core';
import type HolderState from './HolderState.js';

/** A share that was withdrawn from a holder and that the holder may still be using. */
export default interface WithdrawnGrant {
  /** Null if the holder is unknown, after a takeover. */
  readonly entry: EntryId | null;
  readonly cold: number;
  readonly warm: number;
  /** When the withdrawing write was known to have taken effect, on the planner's monotonic clock. */
  readonly withdrawnAtMilliseconds: number;
  readonly holder: HolderState;
}

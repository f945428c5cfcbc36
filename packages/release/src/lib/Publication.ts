import type { Nonce, ReleaseChange, ReleaseState } from '@dandelionlane/core';

/** A publication under way. */
export default interface Publication {
  readonly change: ReleaseChange;
  /** The same for all attempts, so that whichever took effect is known again. */
  readonly nonce: Nonce;
  /** Newest state known. */
  readonly state: ReleaseState;
  /**
   * Whether an attempt against this state may have taken effect although its answer was
   * lost. All such attempts carry the same condition, so that at most one of them commits.
   */
  readonly isOutcomeUnknown: boolean;
}

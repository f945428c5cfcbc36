import type { Nonce, ReleaseChange, ReleaseState } from '@dandelionlane/core';

/** State of a publication in progress, carried from attempt to attempt. */
export default interface Publication {
  readonly change: ReleaseChange;
  /** The same for all attempts: identifies the record in the log, whichever attempt committed it. */
  readonly nonce: Nonce;
  /** Newest known state of the release. */
  readonly state: ReleaseState;
  /**
   * Whether an attempt against this state may have committed although its response was
   * lost. All such attempts have the same condition, so at most one of them commits.
   */
  readonly isOutcomeUnknown: boolean;
}

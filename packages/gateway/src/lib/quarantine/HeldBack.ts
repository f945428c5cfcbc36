import type { PromptPartId } from '@dandelionlane/core';

/** What holds a request back. */
export default interface HeldBack {
  readonly part: PromptPartId;
  /** Time after which a request with the part may be tried, in ms. */
  readonly retryAfterMilliseconds: number;
  /** Whether the term is over, so that a request may be tried if the holder of the lease grants it. */
  readonly isTrialDue: boolean;
}

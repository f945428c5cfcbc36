import type { PromptPartId } from '@dandelionlane/core';
import type TargetCrash from './TargetCrash.js';

/** What entries have observed of one part of a prompt, in a form that they exchange. Ages are in ms. */
export default interface PartEvidence {
  readonly part: PromptPartId;
  /** Crashes with an unanswered request with the part, since it was last served. */
  readonly crashes: readonly (Omit<TargetCrash, 'at'> & { readonly ageMilliseconds: number })[];
  /** Time since a request with the part was served; null if it was not. */
  readonly servedAgeMilliseconds: number | null;
}

import type { WorkerId } from '@dandelionlane/core';
import type NamedLimit from './NamedLimit.js';

/** Limit of a target in a form that entries exchange. */
export default interface TargetLimit extends NamedLimit {
  readonly id: WorkerId;
  /** Time since the target named it, in ms. */
  readonly ageMilliseconds: number;
}

import type { ReplicaId } from '@dandelionlane/core';
import type ChoiceReason from './ChoiceReason.js';

/** Outcome of a choice of target. */
type TargetChoice = | { readonly kind: 'chosen'; readonly replica: ReplicaId; readonly reason: ChoiceReason }
  | { readonly kind: 'none'; readonly reason: 'no-whole-replica' | 'all-full' };

export default TargetChoice;

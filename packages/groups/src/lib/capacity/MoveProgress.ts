import type GroupStep from '../plan/GroupStep.js';
import type CapacityMove from './CapacityMove.js';
import type MoveOutcome from './MoveOutcome.js';

/** What a move does in one round. */
type MoveProgress = | { readonly kind: 'going'; readonly phase: CapacityMove['phase']; readonly steps: readonly GroupStep[] }
  | { readonly kind: 'ended'; readonly outcome: MoveOutcome };

export default MoveProgress;

import type TargetView from './TargetView.js';

/** A candidate with its estimated outstanding tokens, multiplied by its slowness. */
export default interface ScoredTarget {
  readonly target: TargetView;
  readonly tokens: number;
}

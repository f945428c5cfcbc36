import estimateOutstandingTokens from './estimateOutstandingTokens.js';
import type RequestView from './RequestView.js';
import type ScoredTarget from './ScoredTarget.js';
import type TargetView from './TargetView.js';

/** Scores a target by its estimated outstanding tokens with the request included. */
export default function scoreTarget(request: RequestView, target: TargetView): ScoredTarget {
  const tokens = estimateOutstandingTokens(target.load) + request.estimatedTokens;
  return { target, tokens: tokens * target.slowness };
}

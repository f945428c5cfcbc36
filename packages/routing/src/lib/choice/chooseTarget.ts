import type { RandomSource } from '@dandelionlane/core';
import type ChoiceReason from './ChoiceReason.js';
import pickForPrefix from './pickForPrefix.js';
import pickLeastLoaded from './pickLeastLoaded.js';
import type RequestView from './RequestView.js';
import type ScoredTarget from './ScoredTarget.js';
import scoreTarget from './scoreTarget.js';
import type TargetChoice from './TargetChoice.js';
import type TargetView from './TargetView.js';

/** Ratio of the least load in the local zone to the least overall above which requests leave the zone. */
const SPILL_RATIO = 1.5;

/** The local zone must also exceed the least load by this many requests of the current size. */
const SPILL_REQUESTS = 2;

function chosen({ target }: ScoredTarget, reason: ChoiceReason): TargetChoice {
  return { kind: 'chosen', replica: target.replica, reason };
}

/** Skips ejected targets unless no other is left, since a slow answer is better than none. */
function withoutEjected(open: readonly TargetView[]): readonly TargetView[] {
  const admitted = open.filter(({ health }) => health === 'admitted');
  return admitted.length > 0 ? admitted : open;
}

/** Chooses the least loaded target, in the entry's zone unless another zone has much less load. */
function chooseLeast(
  request: RequestView,
  scored: readonly ScoredTarget[],
  random: RandomSource,
): TargetChoice {
  const near = scored.filter(({ target }) => target.availabilityZone === request.availabilityZone);
  const leastNear = pickLeastLoaded(near, random);
  const least = pickLeastLoaded(scored, random);
  if (least === undefined) {
    return { kind: 'none', reason: 'all-full' };
  }
  const spillAt = least.tokens * SPILL_RATIO + SPILL_REQUESTS * request.estimatedTokens;
  return leastNear !== undefined && leastNear.tokens <= spillAt
    ? chosen(leastNear, 'least-tokens')
    : chosen(least, 'least-tokens-other-zone');
}

/**
 * Chooses the replica that a request is sent to, among whole, untried replicas with
 * capacity. Applies prefix affinity with bounded load, then picks the fewest estimated
 * outstanding tokens and prefers the entry's zone. `all-full` means that whole, untried
 * replicas exist but none has capacity.
 */
export default function chooseTarget(
  request: RequestView,
  candidates: readonly TargetView[],
  random: RandomSource,
): TargetChoice {
  const whole = candidates.filter(({ assessment, replica }) => assessment.kind === 'whole'
    && !request.tried.includes(replica));
  if (whole.length === 0) {
    return { kind: 'none', reason: 'no-whole-replica' };
  }
  const open = whole.filter(({ available }) => available > 0);
  const probe = request.mayProbe && open.find(({ health }) => health === 'probe');
  if (probe) {
    return chosen(scoreTarget(request, probe), 'probe');
  }
  const scored = withoutEjected(open).map((target) => scoreTarget(request, target));
  const [only] = scored;
  if (only !== undefined && scored.length === 1) {
    return chosen(only, 'only-candidate');
  }
  const forPrefix = pickForPrefix(request, scored);
  return forPrefix === undefined
    ? chooseLeast(request, scored, random)
    : chosen(forPrefix.candidate, forPrefix.reason);
}

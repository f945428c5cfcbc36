import type AdditionOutcome from './AdditionOutcome.js';
import placeReasonOf from './placeReasonOf.js';
import type PlanContext from './PlanContext.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceDeficit from './ServiceDeficit.js';
import tryPlace from './tryPlace.js';
import tryRebuild from './tryRebuild.js';

/** A replica that left may be taken back unless a needier service, served earlier in the plan, lacks room. */
function mayTakeBack(
  view: ReplicaView,
  need: ServiceDeficit,
  needs: readonly ServiceDeficit[],
  { fleet }: PlanContext,
): boolean {
  if (view.replica.state !== 'draining') return true;
  return !needs.some((other) => other !== need && other.wouldFitOn(view, fleet));
}

function tryRepairs(
  need: ServiceDeficit,
  needs: readonly ServiceDeficit[],
  context: PlanContext,
): AdditionOutcome {
  while (need.repairable.length > 0) {
    const [view] = need.repairable;
    const isPossible = view !== undefined && mayTakeBack(view, need, needs, context);
    const outcome = isPossible ? tryRebuild(view, need, context) : 'no-room';
    if (outcome !== 'no-budget') need.repairable.shift();
    if (outcome !== 'no-room') return outcome;
  }
  return 'no-room';
}

/** Where no room is left for a surge, a drained replica's own VMs take the new version. */
function tryReuse(
  need: ServiceDeficit,
  needs: readonly ServiceDeficit[],
  context: PlanContext,
): AdditionOutcome {
  const { limits } = context.fleet;
  for (const view of need.view.draining) {
    const isReusable = view.isOutdated && view.isIdle
      && view.stateMilliseconds >= limits.drainNoticeMilliseconds
      && !context.draft.hasChanged(view.replica.replica)
      && mayTakeBack(view, need, needs, context);
    const outcome = isReusable ? tryRebuild(view, need, context) : 'no-room';
    if (outcome !== 'no-room') return outcome;
  }
  return 'no-room';
}

/**
 * Adds one replica to a service in the cheapest way that works: repair, which loads
 * few weights; a new replica; and last the VMs of a drained one.
 */
export default function addReplica(
  need: ServiceDeficit,
  needs: readonly ServiceDeficit[],
  context: PlanContext,
): AdditionOutcome {
  const repair = tryRepairs(need, needs, context);
  if (repair !== 'no-room') return repair;
  const placement = tryPlace(need.shape, need.spread, placeReasonOf(need.view), context);
  if (placement !== 'no-room') return placement;
  return tryReuse(need, needs, context);
}

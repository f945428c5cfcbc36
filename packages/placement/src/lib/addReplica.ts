import type AdditionOutcome from './AdditionOutcome.js';
import placeReasonOf from './placeReasonOf.js';
import type PlanContext from './PlanContext.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceDeficit from './ServiceDeficit.js';
import tryPlace from './tryPlace.js';
import tryRebuild from './tryRebuild.js';

/** A draining replica must not be reused while another service, handled earlier, needs its VMs. */
function mayReuse(
  view: ReplicaView,
  deficit: ServiceDeficit,
  deficits: readonly ServiceDeficit[],
  { fleet }: PlanContext,
): boolean {
  if (view.replica.state !== 'draining') return true;
  return !deficits.some((other) => other !== deficit && other.wouldFitOn(view, fleet));
}

function tryRepairs(
  deficit: ServiceDeficit,
  deficits: readonly ServiceDeficit[],
  context: PlanContext,
): AdditionOutcome {
  while (deficit.repairable.length > 0) {
    const [view] = deficit.repairable;
    const isPossible = view !== undefined && mayReuse(view, deficit, deficits, context);
    const outcome = isPossible ? tryRebuild(view, deficit, context) : 'no-capacity';
    if (outcome !== 'no-budget') deficit.repairable.shift();
    if (outcome !== 'no-capacity') return outcome;
  }
  return 'no-capacity';
}

/** Without capacity for a surge, the new version loads on the VMs of a drained replica. */
function tryReuse(
  deficit: ServiceDeficit,
  deficits: readonly ServiceDeficit[],
  context: PlanContext,
): AdditionOutcome {
  const { limits } = context.fleet;
  for (const view of deficit.view.draining) {
    const isReusable = view.isOutdated && view.isIdle
      && view.stateMilliseconds >= limits.drainNoticeMilliseconds
      && !context.draft.hasChanged(view.replica.replica)
      && mayReuse(view, deficit, deficits, context);
    const outcome = isReusable ? tryRebuild(view, deficit, context) : 'no-capacity';
    if (outcome !== 'no-capacity') return outcome;
  }
  return 'no-capacity';
}

/**
 * Adds one replica to a service in the cheapest way possible: by repair, which loads the fewest
 * weights; on free VMs; or else on the VMs of a drained replica.
 */
export default function addReplica(
  deficit: ServiceDeficit,
  deficits: readonly ServiceDeficit[],
  context: PlanContext,
): AdditionOutcome {
  const repair = tryRepairs(deficit, deficits, context);
  if (repair !== 'no-capacity') return repair;
  const placement = tryPlace(deficit.shape, deficit.spread, placeReasonOf(deficit.view), context);
  if (placement !== 'no-capacity') return placement;
  return tryReuse(deficit, deficits, context);
}

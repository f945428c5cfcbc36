import type AdditionOutcome from './AdditionOutcome.js';
import chooseRebuild from './chooseRebuild.js';
import type PlanContext from './PlanContext.js';
import rebuildReasonOf from './rebuildReasonOf.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceDeficit from './ServiceDeficit.js';

/** Rebuilds one replica on its remaining members, if its domain has enough VMs for the others. */
export default function tryRebuild(
  view: ReplicaView,
  deficit: ServiceDeficit,
  {
    fleet, pool, budget, draft,
  }: PlanContext,
): AdditionOutcome {
  const rebuild = chooseRebuild(view, deficit.shape, pool, fleet);
  if (rebuild === null) return 'no-capacity';
  if (!budget.allows(rebuild.loads)) return 'no-budget';
  budget.reserve(rebuild.loads);
  pool.remove(rebuild.spares);
  deficit.spread.add(view.availabilityZone, view.fabricDomain);
  draft.add({
    kind: 'rebuild',
    replica: view.replica.replica,
    version: deficit.shape.version,
    members: rebuild.members,
    reason: rebuildReasonOf(view),
  });
  return 'added';
}

import type AdditionOutcome from './AdditionOutcome.js';
import chooseRebuild from './chooseRebuild.js';
import type PlanContext from './PlanContext.js';
import rebuildReasonOf from './rebuildReasonOf.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceDeficit from './ServiceDeficit.js';

/** Rebuilds one replica on what is left of it, if its domain has the VMs. */
export default function tryRebuild(
  view: ReplicaView,
  need: ServiceDeficit,
  {
    fleet, pool, budget, draft,
  }: PlanContext,
): AdditionOutcome {
  const rebuild = chooseRebuild(view, need.shape, pool, fleet);
  if (rebuild === null) return 'no-room';
  if (!budget.allows(rebuild.loads)) return 'no-budget';
  budget.reserve(rebuild.loads);
  pool.remove(rebuild.spares);
  need.spread.add(view.availabilityZone, view.fabricDomain);
  draft.add({
    kind: 'rebuild',
    replica: view.replica.replica,
    version: need.shape.version,
    members: rebuild.members,
    reason: rebuildReasonOf(view),
  });
  return 'added';
}

import type AdditionOutcome from './AdditionOutcome.js';
import chooseDomain from './chooseDomain.js';
import type DomainPool from './DomainPool.js';
import hasWeights from './hasWeights.js';
import type PlaceReason from './PlaceReason.js';
import type PlanContext from './PlanContext.js';
import type ReplicaShape from './ReplicaShape.js';
import type SpreadCount from './SpreadCount.js';

/** Places one new replica on free VMs, if a domain and the load budget allow it. */
export default function tryPlace(
  shape: ReplicaShape,
  spread: SpreadCount,
  reason: PlaceReason,
  {
    pool, budget, draft, groupSizes,
  }: PlanContext,
  isAllowed?: (domain: DomainPool) => boolean,
): AdditionOutcome {
  const domain = chooseDomain(pool, shape, spread, groupSizes, isAllowed);
  if (domain === null) return 'no-capacity';
  const members = pool.fittingVMs(domain.fabricDomain, shape).slice(0, shape.vmsPerReplica);
  const loads = shape.kind === 'plain'
    ? 0
    : members.filter((vm) => !hasWeights(vm, shape.service, shape.version)).length;
  if (!budget.allows(loads)) return 'no-budget';
  budget.reserve(loads);
  pool.remove(members);
  spread.add(domain.availabilityZone, domain.fabricDomain);
  draft.add({
    kind: 'place',
    service: shape.service,
    version: shape.version,
    members: members.map((vm) => vm.record.vm),
    reason,
  });
  return 'added';
}

import compareText from './compareText.js';
import countByZone from './countByZone.js';
import countSpread from './countSpread.js';
import countVMsInLostSlots from './countVMsInLostSlots.js';
import type DomainPool from './DomainPool.js';
import isStable from './isStable.js';
import listBlocked from './listBlocked.js';
import freesCapacityFor from './freesCapacityFor.js';
import type PlanContext from './PlanContext.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceDeficit from './ServiceDeficit.js';
import type ServiceView from './ServiceView.js';
import shapeOf from './shapeOf.js';
import tryPlace from './tryPlace.js';

/** A replica that could move to another domain, and its service. */
interface Candidate {
  readonly service: ServiceView;
  readonly view: ReplicaView;
}

function listCandidates(deficit: ServiceDeficit, { services, pool, fleet }: PlanContext): Candidate[] {
  return services
    .filter((service) => service.definition !== null
      && service.definition.kind === deficit.shape.kind
      && service.definition.vmsPerReplica < deficit.shape.vmsPerReplica
      && isStable(service, fleet.limits.settledMilliseconds))
    .flatMap((service) => service.serving.map((view) => ({ service, view })))
    .filter(({ view }) => freesCapacityFor(view, deficit, pool, fleet))
    .sort((left, right) => left.view.replica.members.length - right.view.replica.members.length
      || compareText(left.view.replica.replica, right.view.replica.replica));
}

/** Places a copy of the replica elsewhere, unless that worsens the spread or takes a slot that is needed. */
function tryMove({ service, view }: Candidate, deficit: ServiceDeficit, context: PlanContext): boolean {
  if (service.definition === null) return false;
  const shape = shapeOf(service.definition);
  const spread = countSpread(service.serving.filter((other) => other !== view));
  const mostInZone = countByZone(service.serving).get(view.availabilityZone) ?? 0;
  const isAllowed = ({ availabilityZone, fabricDomain, free }: DomainPool): boolean => (
    fabricDomain !== view.fabricDomain
    && spread.inZone(availabilityZone) < mostInZone
    && countVMsInLostSlots(free.length, shape.vmsPerReplica, [deficit.shape.vmsPerReplica]) === 0);
  const { fleet, budget } = context;
  if (!budget.allows(shape.vmsPerReplica, fleet.limits.moveLoadShare)) return false;
  return tryPlace(shape, spread, 'defragment', context, isAllowed) === 'added';
}

/**
 * When a wanted group fits in no domain although enough VMs are free overall, starts to move one
 * smaller replica out of a domain to free a slot. At most one such move is in progress at a time.
 */
export default function planDefragmentation(deficits: readonly ServiceDeficit[], context: PlanContext): void {
  const blocked = [...listBlocked(deficits, context)]
    .sort((left, right) => left.coveredShare - right.coveredShare
      || compareText(left.view.service, right.view.service));
  for (const deficit of blocked) {
    const hasMoved = listCandidates(deficit, context)
      .some((candidate) => tryMove(candidate, deficit, context));
    if (hasMoved) return;
  }
}

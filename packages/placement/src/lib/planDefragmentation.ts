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

/** A replica that could move away, and its service. */
interface Candidate {
  readonly service: ServiceView;
  readonly view: ReplicaView;
}

function listCandidates(need: ServiceDeficit, { services, pool, fleet }: PlanContext): Candidate[] {
  return services
    .filter((service) => service.definition !== null
      && service.definition.kind === need.shape.kind
      && service.definition.vmsPerReplica < need.shape.vmsPerReplica
      && isStable(service, fleet.limits.settledMilliseconds))
    .flatMap((service) => service.serving.map((view) => ({ service, view })))
    .filter(({ view }) => freesCapacityFor(view, need, pool, fleet))
    .sort((left, right) => left.view.replica.members.length - right.view.replica.members.length
      || compareText(left.view.replica.replica, right.view.replica.replica));
}

/** Places a copy of the replica elsewhere, unless that costs spread or a slot that is needed. */
function tryMove({ service, view }: Candidate, need: ServiceDeficit, context: PlanContext): boolean {
  if (service.definition === null) return false;
  const shape = shapeOf(service.definition);
  const spread = countSpread(service.serving.filter((other) => other !== view));
  const mostInZone = countByZone(service.serving).get(view.availabilityZone) ?? 0;
  const isAllowed = ({ availabilityZone, fabricDomain, free }: DomainPool): boolean => (
    fabricDomain !== view.fabricDomain
    && spread.inZone(availabilityZone) < mostInZone
    && countVMsInLostSlots(free.length, shape.vmsPerReplica, [need.shape.vmsPerReplica]) === 0);
  const { fleet, budget } = context;
  if (!budget.allows(shape.vmsPerReplica, fleet.limits.moveLoadShare)) return false;
  return tryPlace(shape, spread, 'defragment', context, isAllowed) === 'added';
}

/**
 * When a wanted group finds no room although enough VMs are free in all, starts to move
 * one smaller replica out of its way. One such move is under way at a time.
 */
export default function planDefragmentation(needs: readonly ServiceDeficit[], context: PlanContext): void {
  const waiting = [...listBlocked(needs, context)]
    .sort((left, right) => left.coveredShare - right.coveredShare
      || compareText(left.view.service, right.view.service));
  for (const need of waiting) {
    const hasMoved = listCandidates(need, context).some((candidate) => tryMove(candidate, need, context));
    if (hasMoved) return;
  }
}

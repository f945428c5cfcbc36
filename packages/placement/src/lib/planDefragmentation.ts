import compareText from './compareText.js';
import countByZone from './countByZone.js';
import countSpread from './countSpread.js';
import countBrokenSlots from './countBrokenSlots.js';
import type DomainPool from './DomainPool.js';
import isAtRest from './isAtRest.js';
import listWaiting from './listWaiting.js';
import makesRoomFor from './makesRoomFor.js';
import type PlanContext from './PlanContext.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceNeed from './ServiceNeed.js';
import type ServiceView from './ServiceView.js';
import shapeOf from './shapeOf.js';
import tryPlace from './tryPlace.js';

/** A replica that could move away, and its service. */
interface Candidate {
  readonly service: ServiceView;
  readonly view: ReplicaView;
}

function listCandidates(need: ServiceNeed, { services, pool, fleet }: PlanContext): Candidate[] {
  return services
    .filter((service) => service.definition !== null
      && service.definition.kind === need.shape.kind
      && service.definition.vmsPerReplica < need.shape.vmsPerReplica
      && isAtRest(service, fleet.limits.settledMilliseconds))
    .flatMap((service) => service.serving.map((view) => ({ service, view })))
    .filter(({ view }) => makesRoomFor(view, need, pool, fleet))
    .sort((left, right) => left.view.replica.members.length - right.view.replica.members.length
      || compareText(left.view.replica.replica, right.view.replica.replica));
}

/** Places a copy of the replica elsewhere, unless that costs spread or a slot that is needed. */
function tryMove({ service, view }: Candidate, need: ServiceNeed, context: PlanContext): boolean {
  if (service.definition === null) return false;
  const shape = shapeOf(service.definition);
  const spread = countSpread(service.serving.filter((other) => other !== view));
  const mostInZone = countByZone(service.serving).get(view.availabilityZone) ?? 0;
  const isAllowed = ({ availabilityZone, fabricDomain, free }: DomainPool): boolean => (
    fabricDomain !== view.fabricDomain
    && spread.inZone(availabilityZone) < mostInZone
    && countBrokenSlots(free.length, shape.vmsPerReplica, [need.shape.vmsPerReplica]) === 0);
  const { fleet, budget } = context;
  if (!budget.allows(shape.vmsPerReplica, fleet.limits.moveLoadShare)) return false;
  return tryPlace(shape, spread, 'defragment', context, isAllowed) === 'added';
}

/**
 * When a wanted group finds no room although enough VMs are free in all, starts to move
 * one smaller replica out of its way. One such move is under way at a time.
 */
export default function planDefragmentation(needs: readonly ServiceNeed[], context: PlanContext): void {
  const waiting = [...listWaiting(needs, context)]
    .sort((left, right) => left.coveredShare - right.coveredShare
      || compareText(left.view.service, right.view.service));
  for (const need of waiting) {
    const hasMoved = listCandidates(need, context).some((candidate) => tryMove(candidate, need, context));
    if (hasMoved) return;
  }
}

import chooseForRemoval from './chooseForRemoval.js';
import type DrainReason from './DrainReason.js';
import listBlocked from './listBlocked.js';
import freesCapacityFor from './freesCapacityFor.js';
import type PlanContext from './PlanContext.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceDeficit from './ServiceDeficit.js';
import type ServiceView from './ServiceView.js';

function drain(view: ReplicaView, reason: DrainReason, { draft }: PlanContext): void {
  const { replica, state } = view.replica;
  if (state !== 'serving' || draft.hasChanged(replica)) return;
  draft.add({ kind: 'drain', replica, reason });
}

function unwantedReason(view: ReplicaView, service: ServiceView): DrainReason {
  if (service.definition === null) return 'withdrawn';
  if (view.outOfServiceReason !== null) return view.outOfServiceReason;
  return service.wanted === 0 ? 'surplus' : 'version-change';
}

/** A broken replica may still heal, so it goes only when it is made up for or nothing of it is left. */
function drainBroken(service: ServiceView, context: PlanContext): void {
  const serving = service.serving.length + service.outdated.length;
  for (const view of service.broken) {
    const isHopeless = view.conditions.every((condition) => ['gone', 'empty', 'astray'].includes(condition));
    if (serving >= service.wanted || isHopeless) drain(view, 'replica-lost', context);
  }
}

/** Replicas of the wanted version count once they are warm, so that a cold one replaces nothing yet. */
function drainSurplus(
  service: ServiceView,
  needs: readonly ServiceDeficit[],
  context: PlanContext,
): void {
  const warm = service.serving.filter(({ isWarm }) => isWarm).length;
  const surplus = warm + service.outdated.length - service.wanted;
  if (surplus <= 0) return;
  const isInTheWay = (view: ReplicaView): boolean => (
    needs.some((need) => freesCapacityFor(view, need, context.pool, context.fleet)));
  for (const view of chooseForRemoval([...service.serving, ...service.outdated], surplus, isInTheWay)) {
    drain(view, view.isOutdated ? 'version-change' : 'surplus', context);
  }
}

/** Without room for a surge, one replica of the old version has to go before a new one can come. */
function makeRoom(need: ServiceDeficit, context: PlanContext): void {
  const { loading, draining, outdated } = need.view;
  if (loading.length > 0 || draining.length > 0) return;
  for (const view of chooseForRemoval(outdated, 1)) drain(view, 'make-room', context);
}

/** Decides which replicas stop taking requests. */
export default function planDrains(needs: readonly ServiceDeficit[], context: PlanContext): void {
  for (const service of context.services) {
    for (const view of service.unwanted) drain(view, unwantedReason(view, service), context);
    if (service.wanted > 0) {
      drainBroken(service, context);
      drainSurplus(service, needs, context);
    }
  }
  // Decided before any of these drains is in the draft, so that services do not wait for each other.
  const waiting = listBlocked(needs, context);
  for (const need of waiting) makeRoom(need, context);
}

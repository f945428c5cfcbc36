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

/** A broken replica may recover, so it drains only when it is replaced or no member can still hold it. */
function drainBroken(service: ServiceView, context: PlanContext): void {
  const serving = service.serving.length + service.outdated.length;
  for (const view of service.broken) {
    const isUnrecoverable = view.conditions.every((condition) => ['gone', 'empty', 'astray'].includes(condition));
    if (serving >= service.wanted || isUnrecoverable) drain(view, 'replica-lost', context);
  }
}

/** Counts replicas of the wanted version only when warm, so that a cold one does not replace another. */
function drainSurplus(
  service: ServiceView,
  deficits: readonly ServiceDeficit[],
  context: PlanContext,
): void {
  const warm = service.serving.filter(({ isWarm }) => isWarm).length;
  const surplus = warm + service.outdated.length - service.wanted;
  if (surplus <= 0) return;
  const freesCapacity = (view: ReplicaView): boolean => (
    deficits.some((deficit) => freesCapacityFor(view, deficit, context.pool, context.fleet)));
  for (const view of chooseForRemoval([...service.serving, ...service.outdated], surplus, freesCapacity)) {
    drain(view, view.isOutdated ? 'version-change' : 'surplus', context);
  }
}

/** Without capacity for a surge, one outdated replica must drain before a new one can be placed. */
function drainOneOutdated(deficit: ServiceDeficit, context: PlanContext): void {
  const { loading, draining, outdated } = deficit.view;
  if (loading.length > 0 || draining.length > 0) return;
  for (const view of chooseForRemoval(outdated, 1)) drain(view, 'make-room', context);
}

/** Plans which serving replicas drain. */
export default function planDrains(deficits: readonly ServiceDeficit[], context: PlanContext): void {
  for (const service of context.services) {
    for (const view of service.unwanted) drain(view, unwantedReason(view, service), context);
    if (service.wanted > 0) {
      drainBroken(service, context);
      drainSurplus(service, deficits, context);
    }
  }
  // Listed before any of these drains is in the draft, so that no service waits for another's drain.
  const blocked = listBlocked(deficits, context);
  for (const deficit of blocked) drainOneOutdated(deficit, context);
}

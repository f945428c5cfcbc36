import chooseForRemoval from './chooseForRemoval.js';
import countByZone from './countByZone.js';
import type FleetSnapshot from './FleetSnapshot.js';
import freesCapacityFor from './freesCapacityFor.js';
import type PlanContext from './PlanContext.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceDeficit from './ServiceDeficit.js';
import type ServiceView from './ServiceView.js';
import type StopReason from './StopReason.js';

function stop(view: ReplicaView, reason: StopReason, { draft }: PlanContext): void {
  const { replica, state } = view.replica;
  if ((state !== 'loading' && state !== 'draining') || draft.hasChanged(replica)) return;
  draft.add({ kind: 'stop', replica, reason });
}

/** A whole replica drains for as long as it runs requests; one with members missing has a limit. */
function drainedReason(view: ReplicaView, { limits }: FleetSnapshot): StopReason | null {
  if (view.stateMilliseconds < limits.drainNoticeMilliseconds) return null;
  if (view.isIdle) return 'drained';
  const isWhole = view.conditions.every((condition) => condition === 'holding');
  return !isWhole && view.stateMilliseconds >= limits.lostDrainMilliseconds ? 'drain-limit' : null;
}

function unwantedReason(view: ReplicaView, { limits }: FleetSnapshot): StopReason {
  if (view.outOfServiceReason !== null) return 'out-of-service';
  return view.stateMilliseconds >= limits.loadLimitMilliseconds ? 'load-limit' : 'not-wanted';
}

/** Whether the one loading replica beyond the wanted number evens out the zones or makes room. */
function isMove(view: ServiceView, needs: readonly ServiceDeficit[], { pool, fleet }: PlanContext): boolean {
  const [mover] = view.loading;
  if (mover === undefined || view.loading.length > 1 || view.serving.length !== view.wanted) return false;
  const isMakingRoom = view.serving.some((other) => other.fabricDomain !== mover.fabricDomain
    && needs.some((need) => freesCapacityFor(other, need, pool, fleet)));
  if (isMakingRoom) return true;
  const counts = countByZone([...view.serving, mover]);
  const target = counts.get(mover.availabilityZone) ?? 0;
  return Math.max(...counts.values()) > target;
}

function stopSurplus(
  service: ServiceView,
  needs: readonly ServiceDeficit[],
  context: PlanContext,
): void {
  const surplus = service.serving.length + service.loading.length - service.wanted;
  if (surplus <= 0 || isMove(service, needs, context)) return;
  for (const view of chooseForRemoval(service.loading, surplus)) stop(view, 'not-wanted', context);
}

/** Decides which replicas unload. */
export default function planStops(needs: readonly ServiceDeficit[], context: PlanContext): void {
  for (const service of context.services) {
    for (const view of service.draining) {
      const reason = drainedReason(view, context.fleet);
      if (reason !== null) stop(view, reason, context);
    }
    for (const view of service.unwanted) stop(view, unwantedReason(view, context.fleet), context);
    for (const view of service.broken) stop(view, 'member-lost', context);
    stopSurplus(service, needs, context);
  }
}

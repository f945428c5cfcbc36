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

/** A whole replica drains until its requests finish; one with missing members has a time limit. */
function drainStopReason(view: ReplicaView, { limits }: FleetSnapshot): StopReason | null {
  if (view.stateMilliseconds < limits.drainNoticeMilliseconds) return null;
  if (view.isIdle) return 'drained';
  const isWhole = view.conditions.every((condition) => condition === 'holding');
  return !isWhole && view.stateMilliseconds >= limits.lostDrainMilliseconds ? 'drain-limit' : null;
}

function unwantedReason(view: ReplicaView, { limits }: FleetSnapshot): StopReason {
  if (view.outOfServiceReason !== null) return 'out-of-service';
  return view.stateMilliseconds >= limits.loadLimitMilliseconds ? 'load-limit' : 'not-wanted';
}

/** Whether the only loading replica is a move that evens out the zones or frees capacity. */
function isMove(
  view: ServiceView,
  deficits: readonly ServiceDeficit[],
  { pool, fleet }: PlanContext,
): boolean {
  const [moving] = view.loading;
  if (moving === undefined || view.loading.length > 1 || view.serving.length !== view.wanted) return false;
  const isFreeingCapacity = view.serving.some((other) => other.fabricDomain !== moving.fabricDomain
    && deficits.some((deficit) => freesCapacityFor(other, deficit, pool, fleet)));
  if (isFreeingCapacity) return true;
  const counts = countByZone([...view.serving, moving]);
  const target = counts.get(moving.availabilityZone) ?? 0;
  return Math.max(...counts.values()) > target;
}

function stopSurplus(
  service: ServiceView,
  deficits: readonly ServiceDeficit[],
  context: PlanContext,
): void {
  const surplus = service.serving.length + service.loading.length - service.wanted;
  if (surplus <= 0 || isMove(service, deficits, context)) return;
  for (const view of chooseForRemoval(service.loading, surplus)) stop(view, 'not-wanted', context);
}

/** Plans which replicas unload. */
export default function planStops(deficits: readonly ServiceDeficit[], context: PlanContext): void {
  for (const service of context.services) {
    for (const view of service.draining) {
      const reason = drainStopReason(view, context.fleet);
      if (reason !== null) stop(view, reason, context);
    }
    for (const view of service.unwanted) stop(view, unwantedReason(view, context.fleet), context);
    for (const view of service.broken) stop(view, 'member-lost', context);
    stopSurplus(service, deficits, context);
  }
}

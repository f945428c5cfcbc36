import type { FabricDomainId } from '@dandelionlane/core';
import compareText from './compareText.js';
import type PlanContext from './PlanContext.js';
import type ReplicaView from './ReplicaView.js';

function countHolding(view: ReplicaView): number {
  return view.conditions.filter((condition) => condition === 'holding').length;
}

/** Whether a member has been missing for so long that its return is not waited for. */
function isLongMissing(view: ReplicaView, { fleet }: PlanContext): boolean {
  return view.replica.members.some(({ vm }, index) => {
    if (view.conditions[index] === 'gone') return true;
    const silence = fleet.observation(vm)?.unreachableMilliseconds ?? 0;
    return view.conditions[index] === 'lost' && silence >= fleet.limits.abandonMilliseconds;
  });
}

function groupByDomain(views: readonly ReplicaView[]): Map<FabricDomainId, ReplicaView[]> {
  const groups = new Map<FabricDomainId, ReplicaView[]>();
  for (const view of views) {
    groups.set(view.fabricDomain, [...(groups.get(view.fabricDomain) ?? []), view]);
  }
  return groups;
}

function compareForAbandon(left: ReplicaView, right: ReplicaView): number {
  return countHolding(left) - countHolding(right) || compareText(left.replica.replica, right.replica.replica);
}

/**
 * Where several replicas of one fabric domain are broken and no spare VM is left, gives
 * up the one with the least left, one at a time, so that its VMs can repair the others.
 */
export default function planAbandons(context: PlanContext): void {
  const { services, draft } = context;
  const stuck = services
    .flatMap(({ broken }) => broken)
    .filter((view) => view.replica.state === 'serving' && isLongMissing(view, context))
    .filter((view) => !draft.hasChanged(view.replica.replica));
  const leaving = new Set(services
    .flatMap(({ draining, stopping }) => [...draining, ...stopping])
    .filter((view) => view.conditions.includes('holding'))
    .map(({ fabricDomain }) => fabricDomain));
  for (const [fabricDomain, views] of groupByDomain(stuck)) {
    const [view] = views.sort(compareForAbandon);
    if (view !== undefined && views.length > 1 && !leaving.has(fabricDomain)) {
      draft.add({ kind: 'drain', replica: view.replica.replica, reason: 'make-room' });
    }
  }
}

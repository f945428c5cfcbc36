import type { FabricDomainId } from '@dandelionlane/core';
import compareText from './compareText.js';
import countFittingMembers from './countFittingMembers.js';
import countHoldingMembers from './countHoldingMembers.js';
import type PlanContext from './PlanContext.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceDeficit from './ServiceDeficit.js';

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
  return countHoldingMembers(left) - countHoldingMembers(right)
    || compareText(left.replica.replica, right.replica.replica);
}

/** Whether a service with a lower covered share could use what is left of the replica. */
function isNeededMore(
  view: ReplicaView,
  needs: readonly ServiceDeficit[],
  { services, pool, fleet }: PlanContext,
): boolean {
  const own = services.find(({ service }) => service === view.replica.service);
  if (own === undefined) return false;
  const ownShare = (own.serving.length + own.loading.length) / own.wanted;
  return needs.some((need) => {
    if (!need.lacksCapacity || need.coveredShare >= ownShare) return false;
    const free = pool.fittingVMs(view.fabricDomain, need.shape).length;
    const usable = countFittingMembers(view, need.shape, fleet, (condition) => condition === 'holding');
    return free + usable >= need.shape.vmsPerReplica;
  });
}

/**
 * Gives up a broken replica for which no spare VM is left, one at a time in a domain, when
 * its VMs can repair another broken replica there or serve a service that needs them more.
 */
export default function planAbandons(needs: readonly ServiceDeficit[], context: PlanContext): void {
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
    if (view === undefined || leaving.has(fabricDomain)) continue;
    if (views.length > 1 || isNeededMore(view, needs, context)) {
      draft.add({ kind: 'drain', replica: view.replica.replica, reason: 'make-room' });
    }
  }
}

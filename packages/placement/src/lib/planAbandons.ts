import type { FabricDomainId } from '@dandelionlane/core';
import compareText from './compareText.js';
import countFittingMembers from './countFittingMembers.js';
import countHoldingMembers from './countHoldingMembers.js';
import type PlanContext from './PlanContext.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceDeficit from './ServiceDeficit.js';

/** Whether a member has been missing for so long that its return is no longer expected. */
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

/** Whether a service with a lower covered share could use the replica's remaining VMs. */
function isNeededElsewhere(
  view: ReplicaView,
  deficits: readonly ServiceDeficit[],
  { services, pool, fleet }: PlanContext,
): boolean {
  const own = services.find(({ service }) => service === view.replica.service);
  if (own === undefined) return false;
  const ownShare = (own.serving.length + own.loading.length) / own.wanted;
  return deficits.some((deficit) => {
    if (!deficit.lacksCapacity || deficit.coveredShare >= ownShare) return false;
    const free = pool.fittingVMs(view.fabricDomain, deficit.shape).length;
    const usable = countFittingMembers(view, deficit.shape, fleet, (condition) => condition === 'holding');
    return free + usable >= deficit.shape.vmsPerReplica;
  });
}

/**
 * Drains broken replicas that lack a spare VM, one at a time per domain, when their VMs can repair
 * another broken replica there or serve a service with a lower covered share.
 */
export default function planAbandons(deficits: readonly ServiceDeficit[], context: PlanContext): void {
  const { services, draft } = context;
  const unrepaired = services
    .flatMap(({ broken }) => broken)
    .filter((view) => view.replica.state === 'serving' && isLongMissing(view, context))
    .filter((view) => !draft.hasChanged(view.replica.replica));
  const domainsBeingFreed = new Set(services
    .flatMap(({ draining, stopping }) => [...draining, ...stopping])
    .filter((view) => view.conditions.includes('holding'))
    .map(({ fabricDomain }) => fabricDomain));
  for (const [fabricDomain, views] of groupByDomain(unrepaired)) {
    const [view] = views.sort(compareForAbandon);
    if (view === undefined || domainsBeingFreed.has(fabricDomain)) continue;
    if (views.length > 1 || isNeededElsewhere(view, deficits, context)) {
      draft.add({ kind: 'drain', replica: view.replica.replica, reason: 'make-room' });
    }
  }
}

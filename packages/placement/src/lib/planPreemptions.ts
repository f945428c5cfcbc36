import compareText from './compareText.js';
import listBlocked from './listBlocked.js';
import type PlanContext from './PlanContext.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceDeficit from './ServiceDeficit.js';
import type ServiceView from './ServiceView.js';

/** Minimum share of its wanted replicas that a service keeps after a preemption. */
const MINIMUM_DONOR_SHARE = 0.5;

/** Whether no replica of the service serves or loads, and no broken one may still recover. */
function isStarved(deficit: ServiceDeficit, context: PlanContext): boolean {
  const { abandonMilliseconds } = context.fleet.limits;
  const mayRecover = deficit.view.broken.some((view) => view.replica.members.every(({ vm }, index) => {
    const silence = context.fleet.observation(vm)?.unreachableMilliseconds ?? Infinity;
    return view.conditions[index] !== 'lost' || silence < abandonMilliseconds;
  }));
  return deficit.coveredShare === 0 && !mayRecover;
}

/** Share of its wanted replicas that the service would serve after losing one more. */
function shareAfterLoss(service: ServiceView, preempted: ReadonlyMap<ServiceView, number>): number {
  return (service.serving.length - (preempted.get(service) ?? 0) - 1) / service.wanted;
}

function chooseDonor(
  deficit: ServiceDeficit,
  preempted: ReadonlyMap<ServiceView, number>,
  context: PlanContext,
): { readonly service: ServiceView; readonly view: ReplicaView } | null {
  const donors = context.services
    .filter((service) => service.outdated.length === 0
      && shareAfterLoss(service, preempted) >= MINIMUM_DONOR_SHARE)
    .sort((left, right) => shareAfterLoss(right, preempted) - shareAfterLoss(left, preempted)
      || compareText(left.service, right.service));
  for (const service of donors) {
    const [view] = service.serving
      .filter((candidate) => deficit.wouldFitOn(candidate, context.fleet))
      .filter((candidate) => !context.draft.hasChanged(candidate.replica.replica))
      .sort((left, right) => left.replica.members.length - right.replica.members.length
        || compareText(left.replica.replica, right.replica.replica));
    if (view !== undefined) return { service, view };
  }
  return null;
}

/**
 * For each service without replicas, drains a replica of a service that keeps at least half of its
 * own. The starved service gets the VMs, since the lowest covered share is handled first.
 */
export default function planPreemptions(deficits: readonly ServiceDeficit[], context: PlanContext): void {
  const preempted = new Map<ServiceView, number>();
  for (const deficit of listBlocked(deficits, context)) {
    if (!isStarved(deficit, context)) continue;
    const donor = chooseDonor(deficit, preempted, context);
    if (donor === null) continue;
    preempted.set(donor.service, (preempted.get(donor.service) ?? 0) + 1);
    context.draft.add({ kind: 'drain', replica: donor.view.replica.replica, reason: 'preempted' });
  }
}

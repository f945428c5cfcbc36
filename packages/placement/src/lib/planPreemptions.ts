import compareText from './compareText.js';
import listBlocked from './listBlocked.js';
import type PlanContext from './PlanContext.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceDeficit from './ServiceDeficit.js';
import type ServiceView from './ServiceView.js';

/** Share of its wanted replicas that a service keeps when it gives one up for another. */
const MINIMUM_DONOR_SHARE = 0.5;

/** A service that serves nothing and has no missing member that may still return. */
function isDesperate(need: ServiceDeficit, context: PlanContext): boolean {
  const { abandonMilliseconds } = context.fleet.limits;
  const mayHeal = need.view.broken.some((view) => view.replica.members.every(({ vm }, index) => {
    const silence = context.fleet.observation(vm)?.unreachableMilliseconds ?? Infinity;
    return view.conditions[index] !== 'lost' || silence < abandonMilliseconds;
  }));
  return need.coveredShare === 0 && !mayHeal;
}

/** Share of its wanted replicas that the service would still serve with one fewer. */
function shareWithout(service: ServiceView, given: ReadonlyMap<ServiceView, number>): number {
  return (service.serving.length - (given.get(service) ?? 0) - 1) / service.wanted;
}

function chooseDonor(
  need: ServiceDeficit,
  given: ReadonlyMap<ServiceView, number>,
  context: PlanContext,
): { readonly service: ServiceView; readonly view: ReplicaView } | null {
  const donors = context.services
    .filter((service) => service.outdated.length === 0 && shareWithout(service, given) >= MINIMUM_DONOR_SHARE)
    .sort((left, right) => shareWithout(right, given) - shareWithout(left, given)
      || compareText(left.service, right.service));
  for (const service of donors) {
    const [view] = service.serving
      .filter((candidate) => need.wouldFitOn(candidate, context.fleet))
      .filter((candidate) => !context.draft.hasChanged(candidate.replica.replica))
      .sort((left, right) => left.replica.members.length - right.replica.members.length
        || compareText(left.replica.replica, right.replica.replica));
    if (view !== undefined) return { service, view };
  }
  return null;
}

/**
 * For a service that serves nothing, drains a replica of one that keeps at least half.
 * The needy service gets the VMs, as the lowest covered share goes first.
 */
export default function planPreemptions(needs: readonly ServiceDeficit[], context: PlanContext): void {
  const given = new Map<ServiceView, number>();
  for (const need of listBlocked(needs, context)) {
    if (!isDesperate(need, context)) continue;
    const donor = chooseDonor(need, given, context);
    if (donor === null) continue;
    given.set(donor.service, (given.get(donor.service) ?? 0) + 1);
    context.draft.add({ kind: 'drain', replica: donor.view.replica.replica, reason: 'preempted' });
  }
}

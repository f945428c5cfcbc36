import type { VMId } from '@dandelionlane/core';
import type FleetSnapshot from './FleetSnapshot.js';
import type MemberCondition from './MemberCondition.js';
import type PlanContext from './PlanContext.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceView from './ServiceView.js';

/** Whether the VM's engine is known to have stopped running the replica. */
function isKnownStopped(condition: MemberCondition | undefined): boolean {
  switch (condition) {
    case 'gone':
    case 'empty':
    case 'astray':
      return true;
    default:
      return false;
  }
}

/** Engines that ignore fencing may still accept a former holder's last order, so they wait longer. */
function minimumStoppingMilliseconds(service: ServiceView, fleet: FleetSnapshot): number {
  return service.definition?.targetsCheckFencing === true ? 0 : fleet.limits.orderExpiryMilliseconds;
}

function planRemoval(view: ReplicaView, context: PlanContext): void {
  const { replica, members } = view.replica;
  const stopped: VMId[] = members
    .filter((_, index) => isKnownStopped(view.conditions[index]))
    .map(({ vm }) => vm);
  if (stopped.length === members.length) {
    context.draft.add({ kind: 'remove', replica, reason: 'members-stopped' });
  } else if (stopped.length > 0) {
    context.draft.add({
      kind: 'free', replica, members: stopped, reason: 'members-stopped',
    });
  }
}

/** Frees each VM of the stopping replicas once its engine is known to have stopped. */
export default function planRemovals(context: PlanContext): void {
  for (const service of context.services) {
    const minimumMilliseconds = minimumStoppingMilliseconds(service, context.fleet);
    for (const view of service.stopping) {
      if (view.stateMilliseconds >= minimumMilliseconds) planRemoval(view, context);
    }
  }
}

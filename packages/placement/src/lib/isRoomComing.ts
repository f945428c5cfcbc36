import type { ServiceDefinition } from '@dandelionlane/core';
import type PlanContext from './PlanContext.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceView from './ServiceView.js';

/** Whether the replica's VMs are soon free for others: not if it hangs, is all lost, or is out of service. */
function isLeavingSoon(view: ReplicaView, lostDrainMilliseconds: number): boolean {
  return view.outReason === null
    && view.stateMilliseconds < lostDrainMilliseconds && view.conditions.includes('holding');
}

function frees(service: ServiceView, lostDrainMilliseconds: number): boolean {
  const present = service.serving.length + service.loading.length + service.outdated.length;
  return present > service.wanted
    || [...service.draining, ...service.stopping].some((view) => isLeavingSoon(view, lostDrainMilliseconds));
}

/** Whether VMs for this kind of service are about to become free, so that making room can wait. */
export default function isRoomComing(kind: ServiceDefinition['kind'], context: PlanContext): boolean {
  const { lostDrainMilliseconds } = context.fleet.limits;
  const isSurging = context.draft.commands.some((command) => (
    command.kind === 'place' && ['version-change', 'defragment', 'spread'].includes(command.reason)));
  return isSurging || context.services
    .filter(({ definition }) => definition === null || definition.kind === kind)
    .some((service) => frees(service, lostDrainMilliseconds));
}

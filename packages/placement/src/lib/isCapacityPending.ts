import type { ServiceDefinition } from '@dandelionlane/core';
import type PlacementCommand from './PlacementCommand.js';
import type PlanContext from './PlanContext.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceView from './ServiceView.js';

/** Reasons of commands in the same plan that end with free VMs. */
const REASONS_THAT_FREE: ReadonlySet<PlacementCommand['reason']> = new Set([
  'version-change', 'defragment', 'spread', 'make-room',
]);

/** Whether the replica's VMs are soon free for others: not if it hangs, is all lost, or is out of service. */
function isLeavingSoon(view: ReplicaView, lostDrainMilliseconds: number): boolean {
  return view.outOfServiceReason === null
    && view.stateMilliseconds < lostDrainMilliseconds
    && view.conditions.some((condition) => condition === 'holding' || condition === 'empty');
}

function frees(service: ServiceView, lostDrainMilliseconds: number): boolean {
  const present = service.serving.length + service.loading.length + service.outdated.length;
  return present > service.wanted
    || [...service.draining, ...service.stopping].some((view) => isLeavingSoon(view, lostDrainMilliseconds));
}

/** Whether VMs for this kind of service are about to become free, so that making room can wait. */
export default function isCapacityPending(kind: ServiceDefinition['kind'], context: PlanContext): boolean {
  const { lostDrainMilliseconds } = context.fleet.limits;
  const isBeingMade = context.draft.commands.some(({ reason }) => REASONS_THAT_FREE.has(reason));
  return isBeingMade || context.services
    .filter(({ definition }) => definition === null || definition.kind === kind)
    .some((service) => frees(service, lostDrainMilliseconds));
}

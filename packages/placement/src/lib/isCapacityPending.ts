import type { ServiceDefinition } from '@dandelionlane/core';
import type PlacementCommand from './PlacementCommand.js';
import type PlanContext from './PlanContext.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceView from './ServiceView.js';

/** Reasons of commands that eventually free VMs. */
const FREEING_REASONS: ReadonlySet<PlacementCommand['reason']> = new Set([
  'version-change', 'defragment', 'spread', 'make-room',
]);

/** Whether the replica's VMs become free soon: not if it is stuck, entirely lost, or out of service. */
function willFreeVMsSoon(view: ReplicaView, lostDrainMilliseconds: number): boolean {
  return view.outOfServiceReason === null
    && view.stateMilliseconds < lostDrainMilliseconds
    && view.conditions.some((condition) => condition === 'holding' || condition === 'empty');
}

function isFreeingVMs(service: ServiceView, lostDrainMilliseconds: number): boolean {
  const present = service.serving.length + service.loading.length + service.outdated.length;
  return present > service.wanted
    || [...service.draining, ...service.stopping]
      .some((view) => willFreeVMsSoon(view, lostDrainMilliseconds));
}

/** Whether VMs for this kind of service are about to become free, so that freeing more can wait. */
export default function isCapacityPending(kind: ServiceDefinition['kind'], context: PlanContext): boolean {
  const { lostDrainMilliseconds } = context.fleet.limits;
  const isFreedByPlan = context.draft.commands.some(({ reason }) => FREEING_REASONS.has(reason));
  return isFreedByPlan || context.services
    .filter(({ definition }) => definition === null || definition.kind === kind)
    .some((service) => isFreeingVMs(service, lostDrainMilliseconds));
}

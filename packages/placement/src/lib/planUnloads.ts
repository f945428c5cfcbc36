import type { Replica, ReplicaId } from '@dandelionlane/core';
import type PlacementInput from './PlacementInput.js';
import type PlanContext from './PlanContext.js';
import type ReplicaObservation from './ReplicaObservation.js';
import type VMObservation from './VMObservation.js';

function hasMember(replica: Replica | undefined, vm: VMObservation): boolean {
  return replica?.members.some((member) => member.vm === vm.record.vm) === true;
}

/** A VM that was just allocated to a loading replica still reports its former one. */
function isAwaitingLoadOrder(holder: ReplicaObservation | undefined, loadStartMilliseconds: number): boolean {
  return holder?.replica.state === 'loading' && holder.stateMilliseconds < loadStartMilliseconds;
}

/** Unloads replicas from VMs that report one to which no row assigns them. */
export default function planUnloads(input: PlacementInput, { fleet, draft }: PlanContext): void {
  const replicas = new Map<ReplicaId, ReplicaObservation>(
    input.replicas.map((observation) => [observation.replica.replica, observation]),
  );
  for (const vm of input.vms) {
    const reported = vm.report?.replica ?? null;
    const allocated = fleet.allocation(vm.record.vm);
    if (reported === null || reported === allocated || !fleet.isFresh(vm)) continue;
    const holder = allocated === undefined ? undefined : replicas.get(allocated);
    const isExpected = hasMember(replicas.get(reported)?.replica, vm)
      || isAwaitingLoadOrder(holder, fleet.limits.loadStartMilliseconds);
    if (!isExpected) {
      draft.add({
        kind: 'unload', vm: vm.record.vm, replica: reported, reason: 'load-without-allocation',
      });
    }
  }
}

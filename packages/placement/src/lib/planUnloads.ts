import type { Replica, ReplicaId } from '@dandelionlane/core';
import type PlacementInput from './PlacementInput.js';
import type PlanContext from './PlanContext.js';
import type ReplicaObservation from './ReplicaObservation.js';
import type VMObservation from './VMObservation.js';

function hasMember(replica: Replica | undefined, vm: VMObservation): boolean {
  return replica?.members.some((member) => member.vm === vm.record.vm) === true;
}

/** A VM that just moved to a loading replica still reports its former one. */
function mayStillTakeOrder(holder: ReplicaObservation | undefined, loadStartMilliseconds: number): boolean {
  return holder?.replica.state === 'loading' && holder.stateMilliseconds < loadStartMilliseconds;
}

/** Puts right VMs that carry a replica which no row gives them. */
export default function planUnloads(input: PlacementInput, { fleet, draft }: PlanContext): void {
  const replicas = new Map<ReplicaId, ReplicaObservation>(
    input.replicas.map((observation) => [observation.replica.replica, observation]),
  );
  for (const vm of input.vms) {
    const carried = vm.report?.replica ?? null;
    const allocated = fleet.allocation(vm.record.vm);
    if (carried === null || carried === allocated || !fleet.isFresh(vm)) continue;
    const holder = allocated === undefined ? undefined : replicas.get(allocated);
    const isExplained = hasMember(replicas.get(carried)?.replica, vm)
      || mayStillTakeOrder(holder, fleet.limits.loadStartMilliseconds);
    if (!isExplained) {
      draft.add({
        kind: 'unload', vm: vm.record.vm, replica: carried, reason: 'load-without-allocation',
      });
    }
  }
}

import type { ReplicaId, VMId } from '@dandelionlane/core';
import type DrainReason from './DrainReason.js';
import isObserverSuspected from './isObserverSuspected.js';
import type MemberCondition from './MemberCondition.js';
import type PlacementInput from './PlacementInput.js';
import type PlacementLimits from './PlacementLimits.js';
import type VMObservation from './VMObservation.js';

/** Indexes the VMs of one placement input and evaluates the state of single VMs. */
export default class FleetSnapshot {
  readonly limits: PlacementLimits;

  readonly #vms = new Map<VMId, VMObservation>();

  readonly #allocations = new Map<VMId, ReplicaId>();

  readonly #zonesOut: ReadonlySet<string>;

  readonly #vmsOut: ReadonlySet<VMId>;

  readonly #isObserverSuspected: boolean;

  constructor(input: PlacementInput, limits: PlacementLimits) {
    this.limits = limits;
    for (const vm of input.vms) this.#vms.set(vm.record.vm, vm);
    for (const { vm, replica } of input.allocations) this.#allocations.set(vm, replica);
    this.#zonesOut = new Set(input.release.availabilityZonesOut);
    this.#vmsOut = new Set(input.release.vmsOut);
    this.#isObserverSuspected = isObserverSuspected(input.vms, limits);
  }

  observation(vm: VMId): VMObservation | undefined {
    return this.#vms.get(vm);
  }

  allocation(vm: VMId): ReplicaId | undefined {
    return this.#allocations.get(vm);
  }

  /** Why the VM is out of service, or null when neither operators nor the platform exclude it. */
  outOfServiceReason(vm: VMObservation): DrainReason | null {
    if (this.#zonesOut.has(vm.record.availabilityZone)) return 'availability-zone-out';
    if (this.#vmsOut.has(vm.record.vm)) return 'vm-out';
    if (vm.record.state === 'leaving' || vm.report?.leaving === true) return 'vm-leaving';
    return null;
  }

  isFresh(vm: VMObservation): boolean {
    return vm.report !== null && vm.unreachableMilliseconds <= this.limits.freshMilliseconds;
  }

  /** Whether the VM can be allocated to a new replica. */
  isFree(vm: VMObservation): boolean {
    return !this.#allocations.has(vm.record.vm)
      && (vm.unlistedMilliseconds ?? 0) === 0
      && this.isFresh(vm)
      && vm.report?.replica === null
      && vm.report.phase === 'empty'
      && this.outOfServiceReason(vm) === null;
  }

  condition(vm: VMId, replica: ReplicaId): MemberCondition {
    const observation = this.#vms.get(vm);
    if (observation === undefined || this.#allocations.get(vm) !== replica) return 'gone';
    if ((observation.unlistedMilliseconds ?? 0) >= this.limits.unlistedMilliseconds) return 'gone';
    if (this.#isLost(observation)) return 'lost';
    if (observation.report === null || !this.isFresh(observation)) return 'silent';
    if (observation.report.replica === replica) return 'holding';
    return observation.report.replica === null ? 'empty' : 'astray';
  }

  #isLost(vm: VMObservation): boolean {
    return vm.unreachableMilliseconds >= this.limits.lostMilliseconds && !this.#isObserverSuspected;
  }
}

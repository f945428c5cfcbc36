import type { AvailabilityZoneId, FabricDomainId } from '@dandelionlane/core';
import compareText from './compareText.js';
import type DomainPool from './DomainPool.js';
import type FleetSnapshot from './FleetSnapshot.js';
import fitsShape from './fitsShape.js';
import hasWeights from './hasWeights.js';
import type ReplicaShape from './ReplicaShape.js';
import type VMObservation from './VMObservation.js';

/** VMs without accelerators serve plain services, the others serve models. */
function kindOf({ record }: VMObservation): ReplicaShape['kind'] {
  return record.accelerators === 0 ? 'plain' : 'model';
}

/**
 * The VMs that a plan can still allocate, by fabric domain. The pool only shrinks during a
 * plan, so a shape that did not fit once cannot fit later in the same plan.
 */
export default class FreePool {
  readonly #domains: Readonly<Record<ReplicaShape['kind'], Map<FabricDomainId, DomainPool>>> = {
    model: new Map(),
    plain: new Map(),
  };

  readonly #zoneSizes = new Map<AvailabilityZoneId, number>();

  readonly #unplaceableShapes = new Set<string>();

  constructor(vms: readonly VMObservation[], fleet: FleetSnapshot) {
    for (const vm of vms) {
      if (fleet.isFree(vm)) this.#add(vm);
    }
  }

  #add(vm: VMObservation): void {
    const { availabilityZone, fabricDomain } = vm.record;
    const domains = this.#domains[kindOf(vm)];
    const domain = domains.get(fabricDomain) ?? { availabilityZone, fabricDomain, free: [] };
    domain.free.push(vm);
    domains.set(fabricDomain, domain);
    this.#zoneSizes.set(availabilityZone, this.freeInZone(availabilityZone) + 1);
  }

  freeInZone(availabilityZone: AvailabilityZoneId): number {
    return this.#zoneSizes.get(availabilityZone) ?? 0;
  }

  /** The free VMs of one domain that fit the shape, best first. */
  fittingVMs(fabricDomain: FabricDomainId, shape: ReplicaShape): VMObservation[] {
    const free = this.#domains[shape.kind].get(fabricDomain)?.free ?? [];
    return free
      .filter((vm) => fitsShape(vm, shape))
      .sort((left, right) => FreePool.#compare(left, right, shape));
  }

  /** The domains with enough free VMs for a whole replica. */
  domainsWithCapacity(shape: ReplicaShape): DomainPool[] {
    const key = `${shape.kind} ${shape.vmsPerReplica} ${shape.acceleratorsPerVM}`;
    if (this.#unplaceableShapes.has(key)) return [];
    const domains = [...this.#domains[shape.kind].values()]
      .filter((domain) => FreePool.#hasCapacity(domain, shape));
    if (domains.length === 0) this.#unplaceableShapes.add(key);
    return domains;
  }

  remove(vms: readonly VMObservation[]): void {
    for (const vm of vms) {
      const { availabilityZone, fabricDomain } = vm.record;
      const free = this.#domains[kindOf(vm)].get(fabricDomain)?.free ?? [];
      const index = free.indexOf(vm);
      if (index >= 0) {
        free.splice(index, 1);
        this.#zoneSizes.set(availabilityZone, this.freeInZone(availabilityZone) - 1);
      }
    }
  }

  static #hasCapacity({ free }: DomainPool, shape: ReplicaShape): boolean {
    if (free.length < shape.vmsPerReplica) return false;
    let missing = shape.vmsPerReplica;
    for (const vm of free) {
      if (fitsShape(vm, shape)) missing -= 1;
      if (missing === 0) return true;
    }
    return false;
  }

  /**
   * Prefers VMs that hold the weights, then those with the fewest accelerators. A smaller fencing
   * number means that the last order to the VM is older, so a delayed order is less likely to
   * arrive; a smaller incarnation means fewer restarts.
   */
  static #compare(left: VMObservation, right: VMObservation, shape: ReplicaShape): number {
    const leftWeights = hasWeights(left, shape.service, shape.version) ? 0 : 1;
    const rightWeights = hasWeights(right, shape.service, shape.version) ? 0 : 1;
    return leftWeights - rightWeights
      || left.record.accelerators - right.record.accelerators
      || (left.report?.fencing ?? 0) - (right.report?.fencing ?? 0)
      || (left.report?.incarnation ?? 0) - (right.report?.incarnation ?? 0)
      || compareText(left.record.vm, right.record.vm);
  }
}

import type { AvailabilityZoneId, FabricDomainId } from '@dandelionlane/core';

/** Counts a service's replicas in each availability zone and fabric domain. */
export default class SpreadCount {
  readonly #zones = new Map<AvailabilityZoneId, number>();

  readonly #domains = new Map<FabricDomainId, number>();

  add(availabilityZone: AvailabilityZoneId, fabricDomain: FabricDomainId, change = 1): void {
    this.#zones.set(availabilityZone, this.inZone(availabilityZone) + change);
    this.#domains.set(fabricDomain, this.inDomain(fabricDomain) + change);
  }

  inZone(availabilityZone: AvailabilityZoneId): number {
    return this.#zones.get(availabilityZone) ?? 0;
  }

  inDomain(fabricDomain: FabricDomainId): number {
    return this.#domains.get(fabricDomain) ?? 0;
  }
}

import type { AvailabilityZoneId, FabricDomainId } from '@dandelionlane/core';
import type VMObservation from './VMObservation.js';

/** The free VMs of one fabric domain. */
export default interface DomainPool {
  readonly availabilityZone: AvailabilityZoneId;
  readonly fabricDomain: FabricDomainId;
  readonly free: VMObservation[];
}

import type { AvailabilityZoneId } from '@dandelionlane/core';
import type FleetConfiguration from '../configuration/FleetConfiguration.js';

/** What a row that operators write says. */
type OperatorRow = | { readonly kind: 'configuration'; readonly configuration: FleetConfiguration }
  /** Workers of the zone get no new work. */
  | { readonly kind: 'zone-closed'; readonly zone: AvailabilityZoneId }
  | { readonly kind: 'zone-opened'; readonly zone: AvailabilityZoneId }
  | { readonly kind: 'other' }
  | { readonly kind: 'invalid'; readonly reason: string };

export default OperatorRow;

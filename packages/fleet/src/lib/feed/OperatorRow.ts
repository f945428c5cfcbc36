import type { AvailabilityZoneId } from '@dandelionlane/core';
import type FleetConfiguration from '../configuration/FleetConfiguration.js';

/** Decoded row of the operators' table. */
type OperatorRow = | { readonly kind: 'configuration'; readonly configuration: FleetConfiguration }
  /** Workers of the zone get no new requests. */
  | { readonly kind: 'zone-closed'; readonly zone: AvailabilityZoneId }
  | { readonly kind: 'zone-opened'; readonly zone: AvailabilityZoneId }
  | { readonly kind: 'other' }
  | { readonly kind: 'invalid'; readonly reason: string };

export default OperatorRow;

import type { AvailabilityZoneId, RandomSource, ServiceId } from '@dandelionlane/core';
import type Member from '../membership/Member.js';

/** Options for selecting the entries that a caller should use for a service. */
export default interface EntrySelectionOptions {
  readonly service: ServiceId;
  /** Members of the region, including the entry that answers the caller. */
  readonly members: readonly Member[];
  readonly availabilityZonesOut: readonly AvailabilityZoneId[];
  /** Availability zone that the caller gave, if any. */
  readonly callerZone: AvailabilityZoneId | undefined;
  readonly homeCount: number;
  /** Time for which the caller may cache the answer. */
  readonly keepSeconds: number;
  readonly random: RandomSource;
}

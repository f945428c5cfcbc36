import type { AvailabilityZoneId, RandomSource, ServiceId } from '@dandelionlane/core';
import type Member from '../membership/Member.js';

/** A caller's question which entry to use, and what is known to answer it. */
export default interface EntrySelectionOptions {
  readonly service: ServiceId;
  /** The members of the region, the answering entry among them. */
  readonly members: readonly Member[];
  readonly availabilityZonesOut: readonly AvailabilityZoneId[];
  /** Zone of the caller, if it told. */
  readonly callerZone: AvailabilityZoneId | undefined;
  readonly homeCount: number;
  /** How long the caller may keep the answer. */
  readonly keepSeconds: number;
  readonly random: RandomSource;
}

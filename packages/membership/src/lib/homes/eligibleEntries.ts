import type { AvailabilityZoneId, EntryRecord } from '@dandelionlane/core';
import type Member from '../membership/Member.js';

/**
 * Entries that may be homes: neither leaving nor dead, and not in an availability zone that is
 * out of service. A suspect stays eligible, so that a false suspicion moves no homes.
 */
export default function eligibleEntries(
  members: readonly Member[],
  availabilityZonesOut: readonly AvailabilityZoneId[],
): readonly EntryRecord[] {
  return members
    .filter(({ state }) => state === 'alive' || state === 'suspect')
    .map(({ entry }) => entry)
    .filter(({ availabilityZone }) => !availabilityZonesOut.includes(availabilityZone));
}

import { EntryRecord } from '@dandelionlane/core';

const ZONES_PER_REGION = 3;
const ENTRIES_PER_SUBNET = 250;

/** Creates the record of the numbered entry in a region, with names of realistic length. */
export default function createEntryRecord(region: number, number: number, incarnation: number): EntryRecord {
  const host = `10.${region}.${Math.floor(number / ENTRIES_PER_SUBNET)}.${number % ENTRIES_PER_SUBNET}`;
  return EntryRecord.parse({
    entry: `entry-r${region}-${number}`,
    region: `region-${region}`,
    availabilityZone: `region-${region}-zone-${number % ZONES_PER_REGION}`,
    incarnation,
    callerAddress: `${host}:8080`,
    peerAddress: `${host}:7070`,
  });
}

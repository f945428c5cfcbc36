import type { EntryRecord } from '@dandelionlane/core';
import type PeerTarget from '../lib/membership/PeerTarget.js';
import type FakeEntry from './FakeEntry.js';
import type FakeNetwork from './FakeNetwork.js';

const SEEDS_PER_REGION = 2;

/** Starts entries with the first entries of each region as seeds. */
export default function startEntries(
  network: FakeNetwork,
  records: readonly EntryRecord[],
): readonly FakeEntry[] {
  const regions = [...new Set(records.map(({ region }) => region))];
  const seeds = regions.flatMap((region) => records
    .filter((record) => record.region === region)
    .slice(0, SEEDS_PER_REGION)
    .map((entry): PeerTarget => ({ kind: 'entry', entry })));
  return records.map((record) => network.start(record, seeds));
}

import { type AvailabilityZoneId, type EntryRecord, hashText } from '@dandelionlane/core';
import compareScored from './compareScored.js';
import type ScoredEntry from './ScoredEntry.js';
import scoreEntry from './scoreEntry.js';

/** The entry with the highest score in each availability zone, highest first. */
function bestOfZones(scored: readonly ScoredEntry[]): ScoredEntry[] {
  const best = new Map<AvailabilityZoneId, ScoredEntry>();
  scored.forEach((candidate) => {
    const { availabilityZone } = candidate.entry;
    const leader = best.get(availabilityZone);
    if (leader === undefined || compareScored(candidate, leader) < 0) {
      best.set(availabilityZone, candidate);
    }
  });
  return [...best.values()].sort(compareScored);
}

/**
 * Rendezvous hashing: returns the `count` entries with the highest scores for a key, in different
 * availability zones as far as there are enough zones. When an entry joins or leaves, only the
 * keys that it gains or loses move.
 */
export default function chooseEntries(
  key: string,
  entries: readonly EntryRecord[],
  count: number,
): readonly EntryRecord[] {
  const keyHash = hashText(key);
  const scored = entries.map((entry) => ({ entry, score: scoreEntry(keyHash, entry) }));
  const leaders = bestOfZones(scored).slice(0, count);
  if (leaders.length >= count) {
    return leaders.map(({ entry }) => entry);
  }
  const others = scored
    .filter((candidate) => !leaders.includes(candidate))
    .sort(compareScored)
    .slice(0, count - leaders.length);
  return [...leaders, ...others].map(({ entry }) => entry);
}

import type { EntryId } from '@dandelionlane/core';
import type ObservedEntry from './ObservedEntry.js';

/** Counts each heartbeat of the holder of the lease as one of the entries that are linked to it, too. */
export default function applyHolderHeartbeats(
  rows: ReadonlyMap<EntryId, ObservedEntry>,
): Map<EntryId, ObservedEntry> {
  const seen = new Map(rows);
  rows.forEach(({ record, lastSeenAt, confirmed }) => {
    record.linked.forEach((entry) => {
      const known = seen.get(entry);
      if (confirmed && known !== undefined && known.lastSeenAt < lastSeenAt) {
        seen.set(entry, { ...known, lastSeenAt, confirmed });
      }
    });
  });
  return seen;
}

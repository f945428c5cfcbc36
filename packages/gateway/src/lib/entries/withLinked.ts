import type { EntryId } from '@dandelionlane/core';
import type SeenEntry from './SeenEntry.js';

/** Counts each heartbeat of the holder of the lease for the entries that are linked to it, too. */
export default function withLinked(rows: ReadonlyMap<EntryId, SeenEntry>): Map<EntryId, SeenEntry> {
  const seen = new Map(rows);
  rows.forEach(({ record, seenAt, confirmed }) => {
    record.linked.forEach((entry) => {
      const known = seen.get(entry);
      if (confirmed && known !== undefined && known.seenAt < seenAt) {
        seen.set(entry, { ...known, seenAt, confirmed });
      }
    });
  });
  return seen;
}

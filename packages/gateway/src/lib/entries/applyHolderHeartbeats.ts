import type { EntryId } from '@dandelionlane/core';
import type ObservedEntry from './ObservedEntry.js';

/** Term of rows that name none: those of entries of an earlier build, and of entries without the lease. */
const NO_TERM = -1;

function termOf({ record }: ObservedEntry): number {
  return record.term ?? NO_TERM;
}

/**
 * Counts each heartbeat of the holder of the lease as one of the entries that are linked to it, too. A list
 * says no more than the heartbeat that it was written with: a former holder that is linked itself is alive,
 * and its row still names those that were linked to it. Of several lists that of the latest term counts.
 * @param since Monotonic time from which on heartbeats count, in ms.
 */
export default function applyHolderHeartbeats(
  rows: ReadonlyMap<EntryId, ObservedEntry>,
  since: number,
): Map<EntryId, ObservedEntry> {
  const seen = new Map(rows);
  const holders = [...rows.values()].filter(({ record, heartbeatAt }) => (
    record.linked.length > 0 && heartbeatAt !== null && heartbeatAt >= since
  ));
  const latestTerm = Math.max(NO_TERM, ...holders.map(termOf));
  holders.filter((holder) => termOf(holder) === latestTerm).forEach(({ record, heartbeatAt }) => {
    record.linked.forEach((entry) => {
      const known = seen.get(entry);
      if (heartbeatAt !== null && known !== undefined && known.lastSeenAt < heartbeatAt) {
        seen.set(entry, { ...known, lastSeenAt: heartbeatAt, confirmed: true });
      }
    });
  });
  return seen;
}

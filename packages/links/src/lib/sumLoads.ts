import type { WorkerId } from '@dandelionlane/core';
import type EntryStatus from './EntryStatus.js';
import type FleetState from './FleetState.js';

/** Outstanding requests and unread prompt tokens of all entries at each model target. */
export default function sumLoads(statuses: readonly EntryStatus[]): FleetState['loads'] {
  const sums = new Map<WorkerId, FleetState['loads'][number]>();
  statuses.forEach(({ targets }) => targets.forEach(({ worker, outstanding, unreadTokens }) => {
    const sum = sums.get(worker);
    sums.set(worker, {
      worker,
      outstanding: outstanding + (sum?.outstanding ?? 0),
      unreadTokens: unreadTokens + (sum?.unreadTokens ?? 0),
    });
  }));
  return [...sums.values()];
}

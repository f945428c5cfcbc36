import type { WorkerId } from '@dandelionlane/core';
import type EntryStatus from './EntryStatus.js';
import type FleetState from './FleetState.js';

/** Requests of all entries at each model target. */
export default function sumLoads(statuses: readonly EntryStatus[]): FleetState['loads'] {
  const sums = new Map<WorkerId, number>();
  statuses.forEach(({ targets }) => targets.forEach(({ worker, outstanding }) => {
    sums.set(worker, (sums.get(worker) ?? 0) + outstanding);
  }));
  return [...sums].map(([worker, outstanding]) => ({ worker, outstanding }));
}

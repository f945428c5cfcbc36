import type { WorkerId } from '@dandelionlane/core';
import type EntryStatus from './EntryStatus.js';
import type FleetState from './FleetState.js';
import mergeSlowdowns from './mergeSlowdowns.js';

/** Outstanding requests, unread prompt tokens and measured slowdown of all entries at each model target. */
export default function sumLoads(statuses: readonly EntryStatus[]): FleetState['loads'] {
  const byWorker = new Map<WorkerId, EntryStatus['targets']>();
  statuses.forEach(({ targets }) => targets.forEach((target) => {
    const reports = byWorker.get(target.worker) ?? [];
    reports.push(target);
    byWorker.set(target.worker, reports);
  }));
  return [...byWorker].map(([worker, reports]) => {
    const slowdown = mergeSlowdowns(reports.flatMap(({ slowdown: measured, started }) => (
      measured === undefined || started <= 0 ? [] : [{ slowdown: measured, streams: started }]
    )));
    return {
      worker,
      outstanding: reports.reduce((sum, { outstanding }) => sum + outstanding, 0),
      unreadTokens: reports.reduce((sum, { unreadTokens }) => sum + unreadTokens, 0),
      ...(slowdown === null ? {} : { slowdown }),
    };
  });
}

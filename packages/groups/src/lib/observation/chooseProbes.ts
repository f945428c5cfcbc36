import type WorkerTracker from './WorkerTracker.js';

/**
 * Questions of one round, which comes 25 times a second. Asking all members of newly formed groups
 * as often as they may change held the holder up for a second with 875 workers.
 */
const PROBES_PER_ROUND = 20;

/** Workers that are asked at the usual intervals; with more of them the intervals grow alike. */
const WORKERS_AT_BASE_INTERVALS = 250;

/**
 * Workers to ask in this round. The number of questions a second is bounded whatever the size of
 * the fleet: registrations tell of changes too, and streams tell of groups that stand still. Urgent
 * ones come first, then those that have waited longest.
 */
export default function chooseProbes(
  trackers: readonly WorkerTracker[],
  now: number,
): readonly WorkerTracker[] {
  const intervalFactor = Math.max(1, trackers.length / WORKERS_AT_BASE_INTERVALS);
  const due = trackers.flatMap((tracker) => {
    const overdue = tracker.overdueMilliseconds(now, intervalFactor);
    return overdue === null ? [] : [{ tracker, overdue, isUrgent: tracker.isUrgent }];
  });
  const chosen = due.length <= PROBES_PER_ROUND ? due : due
    .sort((left, right) => Number(right.isUrgent) - Number(left.isUrgent) || right.overdue - left.overdue)
    .slice(0, PROBES_PER_ROUND);
  return chosen.map(({ tracker }) => tracker);
}

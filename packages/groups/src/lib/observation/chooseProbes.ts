import type WorkerTracker from './WorkerTracker.js';

/**
 * Maximum probes per round, of which there are 25 a second. Without the limit, probing all members of
 * newly formed groups in a fleet of 875 workers blocked the holder for a second.
 */
const PROBES_PER_ROUND = 20;

/** Number of workers up to which the base intervals apply; above it, intervals grow in proportion. */
const WORKERS_AT_BASE_INTERVALS = 250;

/**
 * Chooses the workers to probe in this round: urgent ones first, then the longest overdue. The probe
 * rate is bounded regardless of the size of the fleet, as registrations also report changes and
 * streams reveal stalled groups.
 */
export default function chooseProbes(
  trackers: readonly WorkerTracker[],
  now: number,
  progressing: ReadonlySet<string>,
): readonly WorkerTracker[] {
  const intervalFactor = Math.max(1, trackers.length / WORKERS_AT_BASE_INTERVALS);
  const due = trackers.flatMap((tracker) => {
    const overdue = tracker.overdueMilliseconds(now, intervalFactor, progressing);
    return overdue === null ? [] : [{ tracker, overdue, isUrgent: tracker.isUrgent }];
  });
  const chosen = due.length <= PROBES_PER_ROUND ? due : due
    .sort((left, right) => Number(right.isUrgent) - Number(left.isUrgent) || right.overdue - left.overdue)
    .slice(0, PROBES_PER_ROUND);
  return chosen.map(({ tracker }) => tracker);
}

import type WorkerRun from './WorkerRun.js';

/** Groups runs by their request, in the order in which they began. */
export default function groupRuns(runs: readonly WorkerRun[]): ReadonlyMap<string, readonly WorkerRun[]> {
  const groups = new Map<string, WorkerRun[]>();
  runs.forEach((run) => {
    const group = groups.get(run.requestId) ?? [];
    group.push(run);
    groups.set(run.requestId, group);
  });
  return groups;
}

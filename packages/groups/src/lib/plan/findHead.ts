import type { GroupMembership } from '@dandelionlane/fleet';
import type FleetObservation from '../observation/FleetObservation.js';
import type ObservedWorker from '../observation/ObservedWorker.js';
import assessLiveness from '../observation/assessLiveness.js';

/** Finds the worker that answers probes and reports itself as the head of a formation. */
export default function findHead(
  { name, epoch }: GroupMembership,
  observation: FleetObservation,
): ObservedWorker | undefined {
  return observation.inGroup(name).find((observed) => {
    const group = observed.report?.group ?? null;
    const liveness = assessLiveness(observed);
    return group !== null && group.rank === 0 && group.epoch === epoch
      && (liveness === 'alive' || liveness === 'leaving');
  });
}

import type { FabricDomainId } from '@dandelionlane/core';
import type { GroupMembership } from '@dandelionlane/fleet';
import type FleetObservation from '../observation/FleetObservation.js';
import assessLiveness from '../observation/assessLiveness.js';
import findHead from './findHead.js';

/**
 * Whether a worker may be taken out of a formation of which no record tells: its head does not
 * serve, or no worker of the domain that could be its head is out of sight.
 */
export default function mayLeave(
  group: GroupMembership,
  domain: FabricDomainId | null,
  observation: FleetObservation,
): boolean {
  const head = findHead(group, observation);
  if (head !== undefined) {
    const state = head.report?.group?.state;
    return state !== 'open' && state !== 'closing';
  }
  return ![...observation.workers.values()].some((observed) => {
    const liveness = assessLiveness(observed);
    return observed.worker.domain === domain && (liveness === 'silent' || liveness === 'unknown');
  });
}

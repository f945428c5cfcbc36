import type { FabricDomainId } from '@dandelionlane/core';
import type { GroupMembership } from '@dandelionlane/fleet';
import type FleetObservation from '../observation/FleetObservation.js';
import assessLiveness from '../observation/assessLiveness.js';
import findHead from './findHead.js';

/**
 * Whether a worker may be ordered to leave an unrecorded formation: its head is not serving, or no head
 * is found and every worker of the domain that could be the head has answered or is gone.
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

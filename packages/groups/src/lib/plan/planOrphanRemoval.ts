import type { WorkerId } from '@dandelionlane/core';
import type FleetObservation from '../observation/FleetObservation.js';
import assessLiveness from '../observation/assessLiveness.js';
import type DomainSizes from './DomainSizes.js';
import type GroupRecord from './GroupRecord.js';
import type GroupStep from './GroupStep.js';
import isWarmingUp from './isWarmingUp.js';
import mayLeave from './mayLeave.js';

/**
 * Removes workers from groups whose record does not contain them, such as a completed warm-up or a
 * group joined by a late order.
 * @param settledDomains Domains whose workers have all answered or been found silent.
 */
export default function planOrphanRemoval(
  observation: FleetObservation,
  records: readonly GroupRecord[],
  candidates: readonly WorkerId[],
  settledDomains: DomainSizes,
): readonly GroupStep[] {
  const recordsByName = new Map(records.map((record) => [record.name, record]));
  return candidates.flatMap((id): readonly GroupStep[] => {
    const observed = observation.workers.get(id);
    const group = observed?.report?.group ?? null;
    if (observed === undefined || group === null || observed.hasPendingOrder
      || (group.state === 'joining' && isWarmingUp(observed))) {
      return [];
    }
    const liveness = assessLiveness(observed);
    const record = recordsByName.get(group.name);
    const isKnown = record !== undefined && (record.members.some((member) => member.id === id)
      || record.formerHeads.some(({ head }) => head.id === id));
    if (isKnown || (liveness !== 'alive' && liveness !== 'leaving')) {
      return [];
    }
    const isServing = group.state === 'open' || group.state === 'closing';
    if (isServing && !settledDomains.has(observed.worker.domain)) {
      // Its formation may be complete, which is known once all workers of the domain have answered.
      return [];
    }
    if (!isServing && !mayLeave(group, observed.worker.domain, observation)) {
      return [];
    }
    return [{
      kind: 'order',
      worker: id,
      order: isServing
        ? {
          kind: 'close', group: group.name, epoch: group.epoch, strategy: 'cut',
        }
        : { kind: 'leave', group: group.name, epoch: group.epoch },
      loadsWeights: false,
    }];
  });
}

import compareText from './compareText.js';
import countVMsInLostSlots from './countVMsInLostSlots.js';
import type DomainPool from './DomainPool.js';
import type FreePool from './FreePool.js';
import hasWeights from './hasWeights.js';
import type ReplicaShape from './ReplicaShape.js';
import type SpreadCount from './SpreadCount.js';

/** Number of free VMs in the domain that already hold the weights, at most the replica's size. */
function countPreloaded({ free }: DomainPool, shape: ReplicaShape): number {
  let preloaded = 0;
  for (const vm of free) {
    if (hasWeights(vm, shape.service, shape.version)) preloaded += 1;
  }
  return Math.min(preloaded, shape.vmsPerReplica);
}

/**
 * Score of a domain, compared element by element; the lowest wins. In order of priority: spread
 * over availability zones, which bounds the loss with a zone; no slot for a large group lost to a
 * small one; weights already loaded; most free VMs in the zone; a spare VM left in the domain for
 * repair of groups; spread over domains; best fit.
 */
function scoreDomain(
  domain: DomainPool,
  shape: ReplicaShape,
  spread: SpreadCount,
  pool: FreePool,
  groupSizes: readonly number[],
): readonly number[] {
  const free = domain.free.length;
  const leftover = free - shape.vmsPerReplica;
  return [
    spread.inZone(domain.availabilityZone),
    countVMsInLostSlots(free, shape.vmsPerReplica, groupSizes),
    -countPreloaded(domain, shape),
    -pool.freeInZone(domain.availabilityZone),
    shape.vmsPerReplica > 1 && leftover === 0 ? 1 : 0,
    spread.inDomain(domain.fabricDomain),
    leftover,
  ];
}

function compareScores(left: readonly number[], right: readonly number[]): number {
  for (let index = 0; index < left.length; index += 1) {
    const difference = (left[index] ?? 0) - (right[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}

/** Chooses the fabric domain for a new replica, or null when none has enough free VMs. */
export default function chooseDomain(
  pool: FreePool,
  shape: ReplicaShape,
  spread: SpreadCount,
  groupSizes: readonly number[],
  isAllowed: (domain: DomainPool) => boolean = () => true,
): DomainPool | null {
  let best: DomainPool | null = null;
  let bestScore: readonly number[] = [];
  for (const domain of pool.domainsWithCapacity(shape).filter(isAllowed)) {
    const score = scoreDomain(domain, shape, spread, pool, groupSizes);
    const order = best === null ? -1 : compareScores(score, bestScore)
      || compareText(domain.fabricDomain, best.fabricDomain);
    if (order < 0) {
      best = domain;
      bestScore = score;
    }
  }
  return best;
}

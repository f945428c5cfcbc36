import compareText from './compareText.js';
import countVMsInLostSlots from './countVMsInLostSlots.js';
import type DomainPool from './DomainPool.js';
import type FreePool from './FreePool.js';
import hasWeights from './hasWeights.js';
import type ReplicaShape from './ReplicaShape.js';
import type SpreadCount from './SpreadCount.js';

/** VMs of the domain that already hold the weights, as far as the replica can use them. */
function countPreloaded({ free }: DomainPool, shape: ReplicaShape): number {
  let preloaded = 0;
  for (const vm of free) {
    if (hasWeights(vm, shape.service, shape.version)) preloaded += 1;
  }
  return Math.min(preloaded, shape.vmsPerReplica);
}

/**
 * Key of a domain; the smallest is best. Spread over availability zones bounds the
 * loss with a zone. Then no large slot is broken for a small group, weights at hand save
 * loads, the emptier zone is taken, a domain of groups keeps a spare VM for repair, and
 * the tightest domain wins.
 */
function rate(
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

function compareRatings(left: readonly number[], right: readonly number[]): number {
  for (let index = 0; index < left.length; index += 1) {
    const difference = (left[index] ?? 0) - (right[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}

/** Chooses the fabric domain for a new replica, or null when no domain has room. */
export default function chooseDomain(
  pool: FreePool,
  shape: ReplicaShape,
  spread: SpreadCount,
  groupSizes: readonly number[],
  isAllowed: (domain: DomainPool) => boolean = () => true,
): DomainPool | null {
  let best: DomainPool | null = null;
  let bestRating: readonly number[] = [];
  for (const domain of pool.domainsWithCapacity(shape).filter(isAllowed)) {
    const rating = rate(domain, shape, spread, pool, groupSizes);
    const order = best === null ? -1 : compareRatings(rating, bestRating)
      || compareText(domain.fabricDomain, best.fabricDomain);
    if (order < 0) {
      best = domain;
      bestRating = rating;
    }
  }
  return best;
}

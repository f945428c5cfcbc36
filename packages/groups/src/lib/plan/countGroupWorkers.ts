import type DomainSizes from './DomainSizes.js';
import countReservedSpares from './countReservedSpares.js';

/** Number of workers that may be in groups: all but the reserved spares of each domain. */
export default function countGroupWorkers(domainSizes: DomainSizes): number {
  return [...domainSizes.values()].reduce((sum, size) => sum + size - countReservedSpares(size), 0);
}

/** Workers of a domain per reserved spare. */
const WORKERS_PER_SPARE = 10;

/** Minimum size of a domain with a reserved spare: in a smaller one it is too large a share. */
const MINIMUM_WORKERS_WITH_SPARE = 8;

/** Number of spares that a domain keeps while no model is short of replicas. */
export default function countReservedSpares(domainSize: number): number {
  return domainSize < MINIMUM_WORKERS_WITH_SPARE
    ? 0 : Math.max(1, Math.floor(domainSize / WORKERS_PER_SPARE));
}

import type Demand from './Demand.js';
import findLevelNaively from './findLevelNaively.js';

const TOLERANCE = 1e-9;

/** Whether a team at this level may take a place with so many taken: the last ones are for those below. */
export default function mayTakeNaively(
  demands: readonly Demand[],
  capacity: number,
  taken: number,
  level: number,
): boolean {
  const reserved = demands.filter(({ demand }) => demand > 0).length > 1 ? Math.floor(capacity / 16) : 0;
  const isBelow = level < findLevelNaively(demands, capacity - reserved) - TOLERANCE;
  return taken < capacity - reserved || (taken < capacity && isBelow);
}

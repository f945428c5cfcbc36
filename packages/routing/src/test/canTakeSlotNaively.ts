import type TeamDemand from './TeamDemand.js';
import findWaterLevelNaively from './findWaterLevelNaively.js';

const TOLERANCE = 1e-9;

/** Whether a team at this level may take a slot; the reserved ones are for teams below the water level. */
export default function canTakeSlotNaively(
  demands: readonly TeamDemand[],
  capacity: number,
  taken: number,
  level: number,
): boolean {
  const reserved = demands.filter(({ demand }) => demand > 0).length > 1 ? Math.floor(capacity / 16) : 0;
  const isBelow = level < findWaterLevelNaively(demands, capacity - reserved) - TOLERANCE;
  return taken < capacity - reserved || (taken < capacity && isBelow);
}

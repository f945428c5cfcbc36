import type TeamDemand from './TeamDemand.js';

const STEPS = 100;

/** Reference implementation of the max-min water level, by bisection. Infinity if all demands fit. */
export default function findWaterLevelNaively(demands: readonly TeamDemand[], capacity: number): number {
  const filled = (level: number): number => (
    demands.reduce((sum, { demand, weight }) => sum + Math.min(demand, level * weight), 0));
  if (filled(Infinity) <= capacity) {
    return Infinity;
  }
  let low = 0;
  let high = capacity;
  for (let step = 0; step < STEPS; step += 1) {
    const middle = (low + high) / 2;
    [low, high] = filled(middle) < capacity ? [middle, high] : [low, middle];
  }
  return low;
}

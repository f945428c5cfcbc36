/** What one team wants, and its weight. */
export interface Demand {
  readonly team: string;
  readonly demand: number;
  readonly weight: number;
}

const STEPS = 100;
const TOLERANCE = 1e-9;

/** Level at which the demands, each capped at it, fill the capacity; by bisection. Infinity if all fit. */
export function findLevelNaively(demands: readonly Demand[], capacity: number): number {
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

/** Whether a team at this level may take a place with so many taken: the last ones are for those below. */
export function mayTakeNaively(
  demands: readonly Demand[],
  capacity: number,
  taken: number,
  level: number,
): boolean {
  const reserved = demands.filter(({ demand }) => demand > 0).length > 1 ? Math.floor(capacity / 16) : 0;
  const isBelow = level < findLevelNaively(demands, capacity - reserved) - TOLERANCE;
  return taken < capacity - reserved || (taken < capacity && isBelow);
}

/** Weighted max-min shares by progressive filling: place by place to the team with the fewest by weight. */
export default function shareNaively(demands: readonly Demand[], capacity: number): Map<string, number> {
  const shares = new Map(demands.map(({ team }) => [team, 0]));
  for (let place = 0; place < capacity; place += 1) {
    const levelOf = ({ team, weight }: Demand): number => (shares.get(team) ?? 0) / weight;
    const [poorest] = demands
      .filter(({ team, demand }) => (shares.get(team) ?? 0) < demand)
      .sort((left, right) => levelOf(left) - levelOf(right));
    if (poorest !== undefined && mayTakeNaively(demands, capacity, place, levelOf(poorest))) {
      shares.set(poorest.team, (shares.get(poorest.team) ?? 0) + 1);
    }
  }
  return shares;
}

import type Demand from './Demand.js';
import mayTakeNaively from './mayTakeNaively.js';

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

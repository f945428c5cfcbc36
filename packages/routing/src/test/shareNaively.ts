/** What one team wants, and its weight. */
export interface Demand {
  readonly team: string;
  readonly demand: number;
  readonly weight: number;
}

/** Weighted max-min shares by progressive filling: place by place to the team with the fewest by weight. */
export default function shareNaively(demands: readonly Demand[], capacity: number): Map<string, number> {
  const shares = new Map(demands.map(({ team }) => [team, 0]));
  for (let place = 0; place < capacity; place += 1) {
    const [poorest] = demands
      .filter(({ team, demand }) => (shares.get(team) ?? 0) < demand)
      .sort((left, right) => (shares.get(left.team) ?? 0) / left.weight
        - (shares.get(right.team) ?? 0) / right.weight);
    if (poorest !== undefined) {
      shares.set(poorest.team, (shares.get(poorest.team) ?? 0) + 1);
    }
  }
  return shares;
}

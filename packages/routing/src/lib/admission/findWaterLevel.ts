import type TeamState from './TeamState.js';

/**
 * Slots per unit of weight that max-min fairness gives each team with unmet demand:
 * the level at which the demands, each capped at the level times the team's weight,
 * fill the capacity. Infinity if all demands fit.
 */
export default function findWaterLevel(teams: Iterable<TeamState>, capacity: number): number {
  let unsatisfied = [...teams];
  let remaining = capacity;
  for (;;) {
    const weights = unsatisfied.reduce((sum, { weight }) => sum + weight, 0);
    const level = weights > 0 ? remaining / weights : Infinity;
    const satisfied = unsatisfied.filter(({ demand, weight }) => demand / weight <= level);
    if (satisfied.length === 0 || level === Infinity) {
      return level;
    }
    remaining -= satisfied.reduce((sum, { demand }) => sum + demand, 0);
    unsatisfied = unsatisfied.filter(({ demand, weight }) => demand / weight > level);
  }
}

import type TeamDemand from './TeamDemand.js';
import canTakeSlotNaively from './canTakeSlotNaively.js';

/** Weighted max-min shares by progressive filling: each slot goes to the team with the lowest level. */
export default function allocateSlotsNaively(
  demands: readonly TeamDemand[],
  capacity: number,
): Map<string, number> {
  const shares = new Map(demands.map(({ team }) => [team, 0]));
  for (let taken = 0; taken < capacity; taken += 1) {
    const levelOf = ({ team, weight }: TeamDemand): number => (shares.get(team) ?? 0) / weight;
    const [poorest] = demands
      .filter(({ team, demand }) => (shares.get(team) ?? 0) < demand)
      .sort((left, right) => levelOf(left) - levelOf(right));
    if (poorest !== undefined && canTakeSlotNaively(demands, capacity, taken, levelOf(poorest))) {
      shares.set(poorest.team, (shares.get(poorest.team) ?? 0) + 1);
    }
  }
  return shares;
}

import type { Priority } from '@dandelionlane/core';
import countBefore from './countBefore.js';
import type PlaceSupply from './PlaceSupply.js';
import type TeamState from './TeamState.js';

/**
 * Wait until a team at its share gets a place: about when one of its own becomes
 * free, since later arrivals of other teams go first.
 */
function estimateOwnPlaces(team: TeamState, turn: number, supply: PlaceSupply): number {
  const {
    capacity, unreserved, waterLevel, intervalMilliseconds,
  } = supply;
  const share = Math.min(unreserved, waterLevel * team.weight);
  const turnsBeyondShare = Math.max(0, turn - Math.max(0, share - team.running));
  const places = Math.max(1, share, team.running);
  return (turnsBeyondShare * intervalMilliseconds * capacity) / places;
}

/** Expected wait of the `turn`-th next request of a team's class, in milliseconds. */
export default function estimateWait(
  team: TeamState,
  teams: ReadonlyMap<unknown, TeamState>,
  turn: number,
  priority: Priority,
  supply: PlaceSupply,
): number {
  const before = countBefore(team, teams, turn, priority);
  return Math.max((before + 1) * supply.intervalMilliseconds, estimateOwnPlaces(team, turn, supply));
}

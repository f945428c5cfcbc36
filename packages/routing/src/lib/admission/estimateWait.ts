import type { Priority } from '@dandelionlane/core';
import countAhead from './countAhead.js';
import type CapacitySnapshot from './CapacitySnapshot.js';
import type TeamState from './TeamState.js';

/**
 * Wait until a team at its share gets a place: about when one of its own becomes
 * free, since later arrivals of other teams go first.
 */
function estimateShareWait(team: TeamState, position: number, snapshot: CapacitySnapshot): number {
  const {
    capacity, unreserved, waterLevel, releaseIntervalMilliseconds,
  } = snapshot;
  const share = Math.min(unreserved, waterLevel * team.weight);
  const positionsBeyondShare = Math.max(0, position - Math.max(0, share - team.running));
  const slots = Math.max(1, share, team.running);
  return (positionsBeyondShare * releaseIntervalMilliseconds * capacity) / slots;
}

/** Expected wait of the `position`-th next request of a team's class, in milliseconds. */
export default function estimateWait(
  team: TeamState,
  teams: ReadonlyMap<unknown, TeamState>,
  position: number,
  priority: Priority,
  snapshot: CapacitySnapshot,
): number {
  const ahead = countAhead(team, teams, position, priority);
  return Math.max(
    (ahead + 1) * snapshot.releaseIntervalMilliseconds,
    estimateShareWait(team, position, snapshot),
  );
}

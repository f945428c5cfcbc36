import type { Priority } from '@dandelionlane/core';
import countAhead from './countAhead.js';
import type CapacitySnapshot from './CapacitySnapshot.js';
import type TeamState from './TeamState.js';

/**
 * Expected wait of a team at its fair share, in milliseconds: until requests of its
 * own end, since requests of other teams go first even if they arrive later.
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

/** Expected wait of the request at `position`, from 1, of a team and priority, in milliseconds. */
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

import type { Priority } from '@dandelionlane/core';
import BATCH_SLOT_INTERVAL from './BATCH_SLOT_INTERVAL.js';
import type TeamState from './TeamState.js';

/**
 * Waiting requests of another team that are served before the request at `position`
 * in the queue of `team`: first until both teams are at the same level, then in
 * proportion to their weights.
 */
function countOfTeam(team: TeamState, other: TeamState, position: number, priority: Priority): number {
  const levelAtPosition = (team.running + position) / team.weight;
  const share = Math.max(0, Math.ceil(levelAtPosition * other.weight - other.running));
  return Math.min(other.waiting[priority].size, share);
}

/** Waiting requests of one priority that are served before the request at `position` of `team`. */
function countInClass(
  team: TeamState,
  teams: Iterable<TeamState>,
  position: number,
  priority: Priority,
): number {
  let ahead = position - 1;
  for (const other of teams) {
    if (other !== team) {
      ahead += countOfTeam(team, other, position, priority);
    }
  }
  return ahead;
}

/** Waiting requests of one priority, over all teams. */
function countWaiting(teams: Iterable<TeamState>, priority: Priority): number {
  let waiting = 0;
  for (const { waiting: classes } of teams) {
    waiting += classes[priority].size;
  }
  return waiting;
}

/**
 * Estimates how many waiting requests are served before the request at `position` of
 * a team, counting from 1 within its priority. Batch requests wait for the interactive
 * ones, except that one slot in `BATCH_SLOT_INTERVAL` goes to a batch request.
 */
export default function countAhead(
  team: TeamState,
  teams: ReadonlyMap<unknown, TeamState>,
  position: number,
  priority: Priority,
): number {
  const ahead = countInClass(team, teams.values(), position, priority);
  if (priority === 'interactive') {
    return ahead;
  }
  const interactive = countWaiting(teams.values(), 'interactive');
  return ahead + Math.min(interactive, (ahead + 1) * (BATCH_SLOT_INTERVAL - 1));
}

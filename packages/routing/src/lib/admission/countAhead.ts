import type { Priority } from '@dandelionlane/core';
import BATCH_SLOT_INTERVAL from './BATCH_SLOT_INTERVAL.js';
import type TeamState from './TeamState.js';

/**
 * Requests of another team that go ahead the `position`-th next one of `team` in a
 * class: first until the other team is level with this one, then in proportion to
 * weights.
 */
function countOfTeam(team: TeamState, other: TeamState, position: number, priority: Priority): number {
  const levelAtPosition = (team.running + position) / team.weight;
  const share = Math.max(0, Math.ceil(levelAtPosition * other.weight - other.running));
  return Math.min(other.waiting[priority].size, share);
}

/** Requests of one class that go ahead the `position`-th next one of `team`. */
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

/** Requests of a class that wait, over all teams. */
function countWaiting(teams: Iterable<TeamState>, priority: Priority): number {
  let waiting = 0;
  for (const { waiting: classes } of teams) {
    waiting += classes[priority].size;
  }
  return waiting;
}

/**
 * Estimates how many waiting requests go ahead the `position`-th next one of a team,
 * counting from 1 within its class. Batch requests wait for the interactive ones, but
 * one in so many places is theirs.
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

import type { Priority } from '@dandelionlane/core';
import BATCH_TURN from './BATCH_TURN.js';
import type TeamState from './TeamState.js';

/**
 * Requests of another team that go before the `turn`-th next one of `team` in a
 * class: first until the other team is level with this one, then in proportion to
 * weights.
 */
function countOther(team: TeamState, other: TeamState, turn: number, priority: Priority): number {
  const levelAtTurn = (team.running + turn) / team.weight;
  const share = Math.max(0, Math.ceil(levelAtTurn * other.weight - other.running));
  return Math.min(other.waiting[priority].size, share);
}

/** Requests of one class that go before the `turn`-th next one of `team`. */
function countClass(
  team: TeamState,
  teams: Iterable<TeamState>,
  turn: number,
  priority: Priority,
): number {
  let before = turn - 1;
  for (const other of teams) {
    if (other !== team) {
      before += countOther(team, other, turn, priority);
    }
  }
  return before;
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
 * Estimates how many waiting requests go before the `turn`-th next one of a team,
 * counting from 1 within its class. Batch requests wait for the interactive ones, but
 * one in so many places is theirs.
 */
export default function countBefore(
  team: TeamState,
  teams: ReadonlyMap<unknown, TeamState>,
  turn: number,
  priority: Priority,
): number {
  const before = countClass(team, teams.values(), turn, priority);
  if (priority === 'interactive') {
    return before;
  }
  const interactive = countWaiting(teams.values(), 'interactive');
  return before + Math.min(interactive, (before + 1) * (BATCH_TURN - 1));
}

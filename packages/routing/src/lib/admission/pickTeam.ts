import type { Priority } from '@dandelionlane/core';
import type TeamState from './TeamState.js';

/** Whether `left` is to be served before `right`. */
function goesFirst(left: TeamState, right: TeamState): boolean {
  return left.level === right.level ? left.lastAdmission < right.lastAdmission : left.level < right.level;
}

/** The team with waiting requests of this class that has the fewest in flight by weight. */
export default function pickTeam(
  teams: Iterable<TeamState>,
  priority: Priority,
): TeamState | undefined {
  let first: TeamState | undefined;
  for (const team of teams) {
    if (team.waiting[priority].size > 0 && (first === undefined || goesFirst(team, first))) {
      first = team;
    }
  }
  return first;
}

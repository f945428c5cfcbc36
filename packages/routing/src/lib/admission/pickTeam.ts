import type { Priority } from '@dandelionlane/core';
import type TeamState from './TeamState.js';

/** Whether `left` is served before `right`: lower level first, then least recently admitted. */
function goesFirst(left: TeamState, right: TeamState): boolean {
  return left.level === right.level ? left.lastAdmission < right.lastAdmission : left.level < right.level;
}

/** Picks the team with the lowest level among those with waiting requests of a priority. */
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

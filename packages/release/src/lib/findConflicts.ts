import type { ReleaseNote, ReleaseSequence, ReleaseState } from '@dandelionlane/core';
import listServices from './listServices.js';

/** Maps each service, including withdrawn ones, to the sequence of its latest change. */
function mapLatestChanges(state: ReleaseState): ReadonlyMap<string, ReleaseSequence> {
  return new Map<string, ReleaseSequence>([
    ...state.withdrawn.map(({ service, changedAt }) => [service, changedAt] as const),
    ...state.services.map(({ definition, changedAt }) => [definition.service, changedAt] as const),
  ]);
}

/** Describes each name that was changed after the sequence the note was written against. */
function listChangedAfter(
  label: string,
  names: readonly string[],
  changes: ReadonlyMap<string, ReleaseSequence>,
  writtenAgainst: ReleaseSequence,
): readonly string[] {
  return names.flatMap((name) => {
    const changedAt = changes.get(name);
    return changedAt !== undefined && changedAt > writtenAgainst
      ? [`${label} ${name} was touched by change ${changedAt}`]
      : [];
  });
}

/** Describes each service and team of the note that another change modified after the note was written. */
export default function findConflicts(state: ReleaseState, note: ReleaseNote): readonly string[] {
  const teamChanges = new Map<string, ReleaseSequence>(
    state.teamWeights.map(({ team, changedAt }) => [team, changedAt]),
  );
  const teams = note.teamWeights.map(({ team }) => team);
  return [
    ...listChangedAfter('service', listServices(note), mapLatestChanges(state), note.writtenAgainst),
    ...listChangedAfter('team', teams, teamChanges, note.writtenAgainst),
  ];
}

import type { ReleaseNote, ReleaseState, ServiceDefinition } from '@dandelionlane/core';
import diffFields from './diffFields.js';
import type ReleaseDifference from './ReleaseDifference.js';

type Note = Omit<ReleaseNote, 'writtenAgainst'>;

/** Difference of one definition of the note, listed under either `add` or `change`. */
function diffDefinition(
  existing: ReadonlyMap<string, ServiceDefinition>,
  definition: ServiceDefinition,
): readonly ReleaseDifference[] {
  const before = existing.get(definition.service);
  if (before === undefined) {
    return [{ kind: 'service-added', definition }];
  }
  const fields = diffFields(before, definition);
  return fields.length === 0 ? [] : [{ kind: 'service-changed', service: definition.service, fields }];
}

function diffTeamWeights(state: ReleaseState, note: Note): readonly ReleaseDifference[] {
  const weights = new Map(state.teamWeights.map(({ team, weight }) => [team, weight]));
  return note.teamWeights
    .filter(({ team, weight }) => weights.get(team) !== weight)
    .map(({ team, weight }) => ({
      kind: 'team-weight-changed', team, before: weights.get(team), after: weight,
    }));
}

/**
 * Lists the changes that a note would make, without checking whether it would be accepted
 * (see `validateChange`). A note that is already in force has no differences.
 */
export default function diffReleaseNote(state: ReleaseState, note: Note): readonly ReleaseDifference[] {
  const existing = new Map<string, ServiceDefinition>(
    state.services.map(({ definition }) => [definition.service, definition]),
  );
  const withdrawn: readonly ReleaseDifference[] = note.withdraw
    .filter((service) => existing.has(service))
    .map((service) => ({ kind: 'service-withdrawn', service }));
  return [
    ...[...note.add, ...note.change].flatMap((definition) => diffDefinition(existing, definition)),
    ...withdrawn,
    ...diffTeamWeights(state, note),
  ];
}

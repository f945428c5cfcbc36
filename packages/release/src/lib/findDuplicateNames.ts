import type { ReleaseNote } from '@dandelionlane/core';
import listServices from './listServices.js';

/** Names that occur more than once, each listed once. */
function findRepeated<Name extends string>(names: readonly Name[]): readonly Name[] {
  const seen = new Set<Name>();
  const repeated = new Set<Name>();
  names.forEach((name) => {
    (seen.has(name) ? repeated : seen).add(name);
  });
  return [...repeated];
}

/** Faults of a note in itself, without any state: services and teams named twice. */
export default function findDuplicateNames(note: Omit<ReleaseNote, 'writtenAgainst'>): readonly string[] {
  return [
    ...findRepeated(listServices(note)).map((service) => `service ${service} is named twice`),
    ...findRepeated(note.teamWeights.map(({ team }) => team)).map((team) => `team ${team} is named twice`),
  ];
}

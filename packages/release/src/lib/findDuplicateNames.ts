import type { ReleaseNote } from '@dandelionlane/core';
import listServices from './listServices.js';

/** Returns the names that occur more than once, each of them once. */
function findDuplicates<Name extends string>(names: readonly Name[]): readonly Name[] {
  const seen = new Set<Name>();
  const duplicates = new Set<Name>();
  names.forEach((name) => {
    (seen.has(name) ? duplicates : seen).add(name);
  });
  return [...duplicates];
}

/** Describes the services and teams that a note names more than once. Needs no state. */
export default function findDuplicateNames(note: Omit<ReleaseNote, 'writtenAgainst'>): readonly string[] {
  return [
    ...findDuplicates(listServices(note)).map((service) => `service ${service} is named twice`),
    ...findDuplicates(note.teamWeights.map(({ team }) => team)).map((team) => `team ${team} is named twice`),
  ];
}

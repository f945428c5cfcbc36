import type { ReleaseNote, ReleaseState } from '@dandelionlane/core';

/** Describes additions of existing services, and changes or withdrawals of missing ones. */
export default function findExistenceIssues(state: ReleaseState, note: ReleaseNote): readonly string[] {
  const existing = new Set(state.services.map(({ definition }) => definition.service));
  return [
    ...note.add
      .filter(({ service }) => existing.has(service))
      .map(({ service }) => `service ${service} cannot be added, it exists`),
    ...note.change
      .filter(({ service }) => !existing.has(service))
      .map(({ service }) => `service ${service} cannot be changed, it does not exist`),
    ...note.withdraw
      .filter((service) => !existing.has(service))
      .map((service) => `service ${service} cannot be withdrawn, it does not exist`),
  ];
}
